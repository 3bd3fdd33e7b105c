/** Requests that a router without paths to the replicas passes on to another one. */
import { connect } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type { Behaviour } from "../../standIns/platform/replica.ts";
import type {
  CallerAnswer,
  PartitionableRouter,
  PlatformSystem,
  PlatformSystemSettings,
  RequestOptions,
} from "../../standIns/platform/platformSystem.ts";
import {
  createConfiguration,
  sendRequest,
  hosts,
  isReady,
  keys,
  defaultPromptHeaders,
  startPlatformSystem,
  waitUntil,
} from "../../standIns/platform/platformSystem.ts";
import { isServed } from "../support/servedAnswers.ts";

const post: RequestOptions = { host: hosts.desk, path: "/post/2f?day=1", body: "sign off" };
const read: RequestOptions = { host: hosts.desk, path: "/read/2f", body: "look up" };
const ask: RequestOptions = {
  host: hosts.model,
  path: "/ask/2f",
  body: "summarise",
  headers: defaultPromptHeaders(),
};
const tag: RequestOptions = { ...ask, path: "/tag/2f", body: "tag" };

/** Time until routers know of a partition, milliseconds; leaves room for a busy machine. */
const settlingTime = 800;

/** Longest time for an answer that needs no replica, milliseconds; leaves room for a busy machine. */
const immediate = 400;

const runsOf = ({ desks, engines }: PlatformSystem, id: string) =>
  [...desks, ...engines].flatMap(({ runs }) => runs).filter((run) => run.id === id);

/** Starts a router without paths beside the system's own router, which has some. */
const startPartitioned = async (
  system: PlatformSystem,
  mode: "hang" | "reset" = "hang",
): Promise<PartitionableRouter> => {
  const started = await system.startPartitionable(mode);
  await waitUntil(() => isReady(started.router));
  await sleep(settlingTime);
  return started;
};

const startSystem = async (settings: PlatformSystemSettings = {}) => {
  const system = await startPlatformSystem(settings);
  const { router, network } = await startPartitioned(system);
  return { system, router, network, [Symbol.asyncDispose]: () => system[Symbol.asyncDispose]() };
};

interface RegisteredRouter {
  readonly address: string;
  readonly port: number;
  readonly incarnation: string;
}

const findRegistration = ({ store }: PlatformSystem, name: string): RegisteredRouter => {
  const record = store.topics.newest("keyed.routers").get(name);
  const text = record?.bytes.subarray(1 + name.length).toString() ?? "";
  return JSON.parse(text) as RegisteredRouter;
};

/** Writes a request to a router's port for other routers. @returns What comes back until the connection ends. */
const writeRaw = (
  { address, port }: RegisteredRouter,
  lines: readonly string[],
  localAddress = "127.0.0.1",
) =>
  new Promise<string>((resolve) => {
    let received = "";
    const socket = connect({ host: address, port, localAddress });
    socket.on("data", (chunk: Buffer) => (received += chunk.toString()));
    socket.on("error", () => resolve(received));
    socket.on("close", () => resolve(received));
    socket.write([...lines, "content-length: 0", "connection: close", "", ""].join("\r\n"));
  });

const callLines = (id: string, key: string): readonly string[] => [
  "GET /read/2f HTTP/1.1",
  `host: ${hosts.desk}`,
  `x-attempt-id: ${id}`,
  "x-deadline-ms: 1000",
  `authorization: Bearer ${key}`,
];

const relayLines = (incarnation: string): readonly string[] => [
  `pomelocleat-relay-router: ${incarnation}`,
  "pomelocleat-relay-source: router-9",
  "pomelocleat-relay-sent-to: ",
];

describe("a request that is passed on to another router", () => {
  // Each router that it was passed on to sent it once more, and none counted that as a retry.
  it("isn't passed on again after replicas have refused it", async () => {
    await using started = await startSystem({ desks: 4, bounds: { retryRatio: 0, retryReserve: 0 } });
    const { system, router } = started;
    while (system.routers.length < 3) await system.startRouter();
    await waitUntil(async () => (await Promise.all(system.routers.map(isReady))).every(Boolean));
    await sleep(settlingTime);
    for (const desk of system.desks) desk.setBehaviours(...new Array<Behaviour>(40).fill("deny"));
    const answer = await sendRequest(router, { ...read, id: "refused" });
    expect(answer.status).toEqual(503);
    const arrivals = system.desks
      .flatMap((desk) => desk.arrivals)
      .filter(({ headers }) => headers["x-attempt-id"] === "refused");
    expect(arrivals.length).toEqual(1);
  });

  it("reaches the replica as its caller sent it, with the time that is left", async () => {
    await using started = await startSystem();
    const { system, router } = started;
    const headers = { "x-deadline-ms": "900", "x-extra": "1", "pomelocleat-relay-source": "caller" };
    const answer = await sendRequest(router, { ...post, id: "whole", headers });
    expect([answer.status, answer.isCut]).toEqual([200, false]);
    const [run, ...others] = runsOf(system, "whole");
    expect(others).toEqual([]);
    expect([run?.method, run?.target, run?.body]).toEqual(["POST", post.path, "sign off"]);
    expect([run?.headers["x-extra"], run?.headers["x-tenant"]]).toEqual(["1", "one"]);
    expect([run?.headers["pomelocleat-relay-source"], run?.headers.authorization]).toEqual([
      "caller",
      undefined,
    ]);
    expect(Number(run?.headers["x-deadline-ms"]) <= 900).toEqual(true);
    expect(String(answer.headers["x-replica-seal"]).startsWith("desk-")).toEqual(true);
    expect(Object.keys(answer.headers).filter((name) => name.startsWith("pomelocleat"))).toEqual([]);
  });

  it("is refused by name where the other router refuses it", async () => {
    await using started = await startSystem();
    const { system, router } = started;
    system.publish(createConfiguration(2, { tenants: [{ name: "one", apiKeys: [], isolated: false }] }));
    await waitUntil(async () => (await sendRequest(router, { ...read, key: keys.known })).status === 401);
  });

  it("is cancelled at the replica when its caller leaves", async () => {
    await using started = await startSystem({ engine: { events: { count: 100, pause: 20 } } });
    const { system, router } = started;
    const leaving = new AbortController();
    const answer = sendRequest(router, { ...ask, id: "left", signal: leaving.signal });
    await waitUntil(() => runsOf(system, "left").length === 1);
    leaving.abort();
    await answer;
    await waitUntil(() => runsOf(system, "left")[0]?.wasCut === true);
  });

  it("runs at most once and its outcome is unknown where the other router is lost with it", async () => {
    await using started = await startSystem({ desk: { serviceTime: 400 } });
    const { system, router } = started;
    const answer = sendRequest(router, { ...post, id: "lost" });
    await waitUntil(() => runsOf(system, "lost").length === 1);
    await system.endRouter(system.router);
    expect([(await answer).status, runsOf(system, "lost").length]).toEqual([502, 1]);
  });

  it("is broken off as a stream, or resumed, where the other router is lost with it", async () => {
    await using started = await startSystem({ engine: { events: { count: 30, pause: 20 } } });
    const { system, router } = started;
    await system.startRouter();
    await waitUntil(async () => (await Promise.all(system.routers.map(isReady))).every(Boolean));
    await sleep(settlingTime);
    const broken: CallerAnswer[] = [];
    const whole = new Set<string>();
    // The router that is lost is one of two; enough requests for both kinds to be at it.
    const answers = Array.from({ length: 8 }, async (_, index) => {
      const { path, ...rest } = index % 2 === 0 ? ask : tag;
      const answer = await sendRequest(router, { ...rest, path, id: `stream-${index}` });
      if (isServed(answer)) whole.add(answer.body);
      else broken.push(answer);
      return { answer, isResumable: path === tag.path };
    });
    await waitUntil(() =>
      Array.from({ length: 8 }, (_, index) => `stream-${index}`).every((id) => runsOf(system, id).length > 0),
    );
    await sleep(100);
    await system.endRouter(system.router);
    for (const { answer, isResumable } of await Promise.all(answers)) {
      if (isResumable) expect([answer.status, answer.isCut]).toEqual([200, false]);
      expect(answer.isCut || answer.body.includes("id: 30")).toEqual(true);
    }
    expect(broken.every(({ isCut }) => isCut)).toEqual(true);
    for (let index = 0; index < 8; index += 2) expect(runsOf(system, `stream-${index}`).length).toEqual(1);
  });

  it("is not passed on again, and is refused at once, where no router has a path", async () => {
    await using system = await startPlatformSystem({ isPublished: false });
    system.publish(createConfiguration());
    for (const replica of [...system.desks, ...system.engines]) system.register(replica, {});
    await system.endRouter(system.router);
    const { router } = await system.startPartitionable("hang");
    await system.startPartitionable("hang");
    await waitUntil(() => isReady(router));
    await sleep(2_500);
    const startedAt = performance.now();
    const answers = await Promise.all([post, read, ask, tag].map((each) => sendRequest(router, each)));
    expect(answers.map(({ status }) => status)).toEqual([503, 503, 503, 503]);
    expect(answers.every(({ headers }) => Number(headers["retry-after"]) > 0)).toEqual(true);
    expect(performance.now() - startedAt < immediate).toEqual(true);
  });

  it("is accepted only from routers that name this process, and with a caller's own key", async () => {
    await using started = await startSystem();
    const { system } = started;
    const registered = findRegistration(system, "router-0");
    const { incarnation } = registered;
    const lines = (id: string, key: string, relay: readonly string[]) => [...callLines(id, key), ...relay];
    const forged = [
      await writeRaw(registered, lines("none", keys.known, [])),
      await writeRaw(registered, lines("other", keys.known, relayLines("another-process"))),
      await writeRaw(registered, lines("key", "no-key", relayLines(incarnation))),
    ];
    expect(forged.map((text) => text.split(" ")[1])).toEqual(["403", "403", "401"]);
    expect(
      await writeRaw(registered, lines("far", keys.known, relayLines(incarnation)), "127.0.0.9"),
    ).toEqual("");
    expect(["none", "other", "key", "far"].flatMap((id) => runsOf(system, id))).toEqual([]);
    const served = await writeRaw(registered, lines("known", keys.known, relayLines(incarnation)));
    expect(served.split(" ")[1]).toEqual("200");
  });
});
