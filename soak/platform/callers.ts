/** Callers behind a simulated load balancer: they use routers that report ready, over keep-alive connections. */
import type { IncomingMessage } from "node:http";
import { Agent, request as httpRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../../bench/model/random.ts";
import {
  callHeaders,
  createPromptHeaders,
  drainingReplicaOf,
  hosts,
  keys,
  defaultPromptHeaders,
} from "../../standIns/platform/platformSystem.ts";
import { deadlyParts } from "../../tests/support/crashingReplicas.ts";
import { paddingHeader } from "../../standIns/platform/replica.ts";
import { routerHeader } from "../../tests/support/limitedReplicas.ts";
import type { RouterSlot } from "./soakSystem.ts";
import type { CallerRecord, RequestName } from "./types.ts";

/** Running callers and their records. */
export interface SoakCallers extends AsyncDisposable {
  readonly records: readonly CallerRecord[];
  /** Runs additional callers for a time, milliseconds; resolves when their requests have ended. */
  readonly runLoad: (kind: LoadKind, duration: number) => Promise<void>;
  /** Takes routers out of rotation for a time, milliseconds: callers go elsewhere once their connections end. */
  readonly moveAway: (names: readonly string[], duration: number) => Promise<void>;
  /** Stops the callers; resolves when every request has ended. */
  readonly stop: () => Promise<void>;
}

/** Milliseconds. */
const times = { timeout: 2_500, readinessInterval: 200, betweenRequests: 40, disconnectAfter: 60 } as const;

const callerCount = 24;

/** Share of the requests whose caller disconnects before the answer is complete. */
const disconnectShare = 0.03;

/** Number of consecutive missed readiness probes after which a router is taken out of rotation. */
const missedProbesLimit = 2;

const names: readonly RequestName[] = ["read", "post", "ask", "tag"];

/** The organisation that floods, and its key. */
export const floodingOrganisation = { name: "three", key: "key-three" } as const;

/** What the additional callers of a step of the plan send. */
interface LoadSettings {
  readonly callers: number;
  /** Milliseconds. */
  readonly betweenRequests: number;
  readonly fields: Partial<PlannedRequest>;
  /** Shared parts of the prompts, whose last part is each request's own. */
  readonly sharedParts?: readonly string[];
  /** Opens a connection for each request, all to one router. */
  readonly isHerd?: boolean;
}

const loads = {
  organisationFloods: {
    callers: 48,
    betweenRequests: 10,
    // Together more prompt tokens than four engines compute.
    fields: {
      key: floodingOrganisation.key,
      organisation: floodingOrganisation.name,
      prompt: createPromptHeaders([{ id: "77a1c3e4", tokens: 4_000 }], 80),
    },
  },
  // Three such requests fill the memory of an engine.
  memoryFills: {
    callers: 24,
    betweenRequests: times.betweenRequests,
    fields: { prompt: createPromptHeaders([{ id: "4be0917c", tokens: 4_000 }], 60_000) },
  },
  // Each answer is larger than what the connection's socket buffers hold.
  callersStopReading: {
    callers: 6,
    betweenRequests: times.betweenRequests,
    fields: { padding: 1_000_000, reading: "slow" },
  },
  crashingParts: {
    callers: 2,
    betweenRequests: 100,
    fields: {},
    sharedParts: ["5c1e07a2", deadlyParts[0]],
  },
  connectionHerd: { callers: 24, betweenRequests: 20, fields: {}, isHerd: true },
} as const satisfies Readonly<Record<string, LoadSettings>>;

/** A kind of additional load. */
export type LoadKind = keyof typeof loads;

/** Pause of a slow reader after each chunk, milliseconds, and share of the slow readers that stop reading. */
const slowReading = { pause: 10, stopShare: 0.5 } as const;

/** One request to be sent. */
export interface PlannedRequest {
  readonly id: string;
  readonly name: RequestName;
  readonly key: string;
  readonly organisation: string;
  readonly sentBody: string;
  readonly disconnects: boolean;
  /** Headers of a prompt other than the usual one. */
  readonly prompt: Readonly<Record<string, string>> | undefined;
  readonly padding: number;
  /** `slow`: pauses after each chunk; `stopped`: reads no body and disconnects at the end of its time. */
  readonly reading: "usual" | "slow" | "stopped";
}

const headersOf = (
  { id, name, key, prompt, padding }: PlannedRequest,
  { name: router }: Pick<RouterSlot, "name">,
): Record<string, string> => ({
  [routerHeader]: router,
  host: name === "read" || name === "post" ? hosts.desk : hosts.model,
  ...callHeaders(id, key, times.timeout),
  ...(name === "ask" || name === "tag" ? (prompt ?? defaultPromptHeaders()) : {}),
  ...(padding === 0 ? {} : { [paddingHeader]: String(padding) }),
});

/** @returns The headers of a prompt whose last part belongs to the request alone. */
const createOwnPrompt = (sharedParts: readonly string[], id: string) => {
  const own = Buffer.from(id).toString("hex").slice(-8);
  return createPromptHeaders(
    [...sharedParts, own].map((part) => ({ id: part, tokens: 200 })),
    80,
  );
};

/** Sends one request. @returns Its outcome; status 0 if there was no answer. */
export const sendPlanned = (
  agent: Agent,
  slot: Pick<RouterSlot, "name" | "url">,
  planned: PlannedRequest,
): Promise<Pick<CallerRecord, "status" | "body" | "isCut" | "hasDisconnected" | "drainingReplica">> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let hasDisconnected = false;
    let drainingReplica: string | undefined;
    const end = (status: number, isCut: boolean): void => {
      clearTimeout(timer);
      const whole = Buffer.concat(chunks).toString();
      const body = planned.padding === 0 ? whole : whole.replaceAll("x".repeat(planned.padding), "");
      resolve({ status, body, isCut, hasDisconnected, drainingReplica });
    };
    const read = (response: IncomingMessage): void => {
      drainingReplica = drainingReplicaOf(response.headers);
      if (planned.reading === "stopped") return;
      response.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        if (planned.reading === "usual") return;
        response.pause();
        setTimeout(() => response.resume(), slowReading.pause);
      });
      // Node drops the unread rest of a response whose request was destroyed, and may still report its end.
      response.on("end", () => end(response.statusCode ?? 0, hasDisconnected || !response.complete));
      response.on("error", () => end(response.statusCode ?? 0, true));
    };
    const method = planned.name === "read" ? "GET" : "POST";
    const path = `/${planned.name}/${planned.id}`;
    const request = httpRequest(slot.url, { agent, method, path, headers: headersOf(planned, slot) }, read);
    request.on("error", () => end(0, true));
    request.end(planned.sentBody);
    const disconnect = (): void => {
      hasDisconnected = true;
      request.destroy();
      if (planned.reading === "stopped") end(0, true);
    };
    const timer = setTimeout(
      disconnect,
      planned.disconnects ? times.disconnectAfter : times.timeout + times.disconnectAfter,
    );
  });

const isReady = async ({ readinessUrl }: RouterSlot): Promise<boolean> => {
  try {
    const answer = await fetch(readinessUrl, { signal: AbortSignal.timeout(times.readinessInterval) });
    await answer.arrayBuffer();
    return answer.ok;
  } catch {
    // Like a load balancer, counts a failed probe as a miss.
    return false;
  }
};

/** Polls the readiness of routers and keeps the ready ones in rotation. */
const pollReadiness = (routers: readonly RouterSlot[], isRunning: () => boolean) => {
  const misses = new Map<string, number>();
  /** By name: how many steps keep the router out of rotation. */
  const takenOut = new Map<string, number>();
  const addTakenOut = (names: readonly string[], change: number): void => {
    for (const name of names) takenOut.set(name, (takenOut.get(name) ?? 0) + change);
  };
  const poll = async (slot: RouterSlot): Promise<void> => {
    while (isRunning()) {
      misses.set(slot.name, (await isReady(slot)) ? 0 : (misses.get(slot.name) ?? 0) + 1);
      await sleep(times.readinessInterval);
    }
  };
  const done = Promise.all(routers.map(poll));
  const inRotation = (): readonly RouterSlot[] => {
    const ready = routers.filter(({ name }) => (misses.get(name) ?? missedProbesLimit) < missedProbesLimit);
    const chosen = ready.filter(({ name }) => (takenOut.get(name) ?? 0) === 0);
    if (chosen.length > 0) return chosen;
    return ready.length > 0 ? ready : routers;
  };
  const moveAway: SoakCallers["moveAway"] = async (names, duration) => {
    addTakenOut(names, 1);
    await sleep(duration);
    addTakenOut(names, -1);
  };
  return { done, inRotation, moveAway };
};

/** Starts callers. @param spareKeys - Additional API keys, which the operator may revoke during the run. */
export const startSoakCallers = (
  routers: readonly RouterSlot[],
  random: Random,
  spareKeys: readonly string[],
): SoakCallers => {
  const records: CallerRecord[] = [];
  let isRunning = true;
  let count = 0;
  const isActive = (): boolean => isRunning;
  const readiness = pollReadiness(routers, isActive);

  const createRequest = (): PlannedRequest => {
    count += 1;
    const name = names[random.index(names.length)] ?? "read";
    const isOther = random.uniform() < 0.2;
    const spare = random.uniform() < 0.2 ? spareKeys[random.index(spareKeys.length)] : undefined;
    return {
      id: `request-${count}`,
      name,
      key: spare ?? (isOther ? keys.isolated : keys.known),
      organisation: spare === undefined && isOther ? "two" : "one",
      sentBody: name === "read" ? "" : `body of ${count}`,
      disconnects: random.uniform() < disconnectShare,
      prompt: undefined,
      padding: 0,
      reading: "usual",
    };
  };

  const sendNext = async (
    agent: Agent,
    slot: RouterSlot,
    planned: PlannedRequest = createRequest(),
  ): Promise<boolean> => {
    const sentAt = performance.now();
    const result = await sendPlanned(agent, slot, planned);
    const { id, name, key, organisation, sentBody, padding } = planned;
    const asked = { id, name, key, organisation, sentBody, padding, router: slot.name };
    records.push({ ...asked, ...result, sentAt, endedAt: performance.now() });
    return result.status !== 0;
  };

  /** Each caller reuses its connection until it closes, even if the router leaves rotation meanwhile. */
  const runCaller = async (): Promise<void> => {
    while (isActive()) {
      const ready = readiness.inRotation();
      const slot = ready[random.index(ready.length)];
      if (slot === undefined) return;
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      const requests = 1 + random.index(20);
      for (let sent = 0; sent < requests; sent += 1) {
        if (!isActive() || !(await sendNext(agent, slot))) break;
        await sleep(times.betweenRequests);
      }
      agent.destroy();
    }
  };
  const running = Promise.all(Array.from({ length: callerCount }, runCaller));

  const runLoad: SoakCallers["runLoad"] = async (kind, duration) => {
    const { callers, betweenRequests, fields, sharedParts, isHerd = false }: LoadSettings = loads[kind];
    const endsAt = performance.now() + duration;
    const runOne = async (index: number): Promise<void> => {
      const agent = new Agent({ keepAlive: !isHerd, maxSockets: 1 });
      while (performance.now() < endsAt) {
        const ready = readiness.inRotation();
        const slot = isHerd ? ready[0] : ready[random.index(ready.length)];
        const name = random.uniform() < 0.5 ? "ask" : "tag";
        const usual = { ...createRequest(), key: keys.known, organisation: "one", disconnects: false };
        const stops = fields.reading === "slow" && index < callers * slowReading.stopShare;
        const planned: PlannedRequest = {
          ...usual,
          name,
          ...fields,
          ...(sharedParts === undefined ? {} : { prompt: createOwnPrompt(sharedParts, usual.id) }),
          ...(stops ? { reading: "stopped" } : {}),
        };
        if (slot !== undefined) await sendNext(agent, slot, planned);
        await sleep(betweenRequests);
      }
      agent.destroy();
    };
    await Promise.all(Array.from({ length: callers }, (_, index) => runOne(index)));
  };

  const stop = async (): Promise<void> => {
    isRunning = false;
    await running;
    await readiness.done;
  };
  return { records, runLoad, moveAway: readiness.moveAway, stop, [Symbol.asyncDispose]: stop };
};
