/**
 * A program that opens a connection for each request, most of them to one router: `node connectionCallers.js PLAN`. Callers
 * retry at another router as the platform's consumers do. Prints what came of the requests as JSON.
 */
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { callHeaders, hosts, keys } from "../../standIns/platform/platformSystem.ts";

/** A time in which requests come at a steady rate. */
export interface CallerPhase {
  readonly seconds: number;
  /** Requests a second. */
  readonly rate: number;
  /** Share of the new connections that go to one router; the rest go to all in turn. */
  readonly share: number;
  /** Index of that router. */
  readonly favoured: number;
}

export interface CallerPlan {
  /** `IP:PORT` of each router. */
  readonly routers: readonly string[];
  readonly phases: readonly CallerPhase[];
}

/** What came of the requests that were sent in one second. */
export interface SecondOutcome {
  readonly phase: number;
  readonly second: number;
  readonly sent: number;
  /** Requests answered with success by the first router that read them. */
  readonly served: number;
  /** Connections that were refused or closed without a byte. */
  readonly unread: number;
  /** Requests that no router answered within the callers' patience, once or more. */
  readonly unanswered: number;
}

/** Deadline of a request, and how long a caller waits for the first byte, milliseconds. */
const patience = { deadline: 3_000, firstByte: 1_000 } as const;

const maxTries = 4;

type TryOutcome = "served" | "failed" | "unread" | "unanswered";

let nextId = 0;

const formatRequest = (): string => {
  nextId += 1;
  const body = `look up ${nextId}`;
  const headers = Object.entries({
    host: hosts.desk,
    ...callHeaders(`call-${nextId}`, keys.known, patience.deadline),
    "content-length": String(body.length),
    connection: "close",
  });
  const lines = headers.map(([name, value]) => `${name}: ${value}`);
  return ["POST /read/2f HTTP/1.1", ...lines, "", body].join("\r\n");
};

const tryOnce = (address: string): Promise<TryOutcome> =>
  new Promise((resolve) => {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    let text = "";
    const finish = (outcome: TryOutcome): void => {
      clearTimeout(timer);
      resolve(outcome);
      socket.destroy();
    };
    const timer = setTimeout(() => finish("unanswered"), patience.firstByte);
    socket.on("connect", () => socket.write(formatRequest()));
    socket.on("data", (data) => {
      text += data.toString("latin1");
      clearTimeout(timer);
    });
    socket.on("end", () => {
      if (text === "") finish("unread");
      else finish(text.startsWith("HTTP/1.1 200") ? "served" : "failed");
    });
    socket.on("error", () => finish(text === "" ? "unread" : "failed"));
  });

const play = async ({ routers, phases }: CallerPlan): Promise<readonly SecondOutcome[]> => {
  const seconds: { -readonly [Field in keyof SecondOutcome]: SecondOutcome[Field] }[] = [];
  const pending: Promise<void>[] = [];
  let turn = 0;
  const nextRouter = (): number => {
    turn += 1;
    return turn % routers.length;
  };
  const call = async (record: (typeof seconds)[number], first: number): Promise<void> => {
    const until = performance.now() + patience.deadline;
    let router = first;
    for (let count = 0; count < maxTries && performance.now() < until; count += 1) {
      const outcome = await tryOnce(routers[router] ?? "");
      if (outcome === "unread") record.unread += 1;
      if (outcome === "unanswered") record.unanswered += 1;
      if (outcome === "served") record.served += 1;
      // Only a connection that was not read leaves the next router the first that reads the request.
      if (outcome !== "unread") return;
      const before = router;
      while (router === before) router = nextRouter();
    }
  };
  for (const [phase, { seconds: length, rate, share, favoured }] of phases.entries()) {
    const startedAt = performance.now();
    for (let count = 0; count < length * rate; count += 1) {
      const second = Math.floor(count / rate);
      let record = seconds.find((each) => each.phase === phase && each.second === second);
      if (record === undefined) {
        record = { phase, second, sent: 0, served: 0, unread: 0, unanswered: 0 };
        seconds.push(record);
      }
      record.sent += 1;
      const isFavoured = (count * 0.618_034) % 1 < share;
      pending.push(call(record, isFavoured ? favoured : nextRouter()));
      const wait = startedAt + ((count + 1) * 1_000) / rate - performance.now();
      if (wait > 1) await sleep(wait);
    }
  }
  await Promise.all(pending);
  return seconds;
};

console.log(JSON.stringify({ url: "", name: "callers" }));
const outcome = await play(JSON.parse(process.argv[2] ?? "{}") as CallerPlan);
console.log(JSON.stringify({ outcome, busy: process.cpuUsage() }));
