/** Callers that ask by the balancer's rules: routers that say they are ready, on connections that are kept. */
import type { IncomingMessage } from "node:http";
import { Agent, request as httpRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../../bench/model/random.ts";
import {
  callHeaders,
  drainingReplicaOf,
  hosts,
  keys,
  defaultPromptHeaders,
} from "../../standIns/platform/platformSystem.ts";
import { routerHeader } from "../../tests/support/limitedReplicas.ts";
import type { RouterSlot } from "./soakSystem.ts";
import type { CallerRecord, RequestName } from "./types.ts";

/** Callers at work. */
export interface SoakCallers extends AsyncDisposable {
  readonly records: readonly CallerRecord[];
  /** Resolves when every request has ended. */
  readonly stop: () => Promise<void>;
}

/** Milliseconds. */
const times = { patience: 2_500, readinessInterval: 200, thinking: 40, leaveAfter: 60 } as const;

const callers = 24;

/** Share of the callers that go away before their answer is complete. */
const leavingShare = 0.03;

/** Answers that a router in rotation may miss before it is taken out. */
const mostMisses = 2;

const names: readonly RequestName[] = ["read", "post", "ask", "tag"];

interface Ask {
  readonly id: string;
  readonly name: RequestName;
  readonly key: string;
  readonly organisation: string;
  readonly sentBody: string;
  readonly leaves: boolean;
}

const headersOf = ({ id, name, key }: Ask, { name: router }: RouterSlot): Record<string, string> => ({
  [routerHeader]: router,
  host: name === "read" || name === "post" ? hosts.desk : hosts.model,
  ...callHeaders(id, key, times.patience),
  ...(name === "ask" || name === "tag" ? defaultPromptHeaders() : {}),
});

/** Sends one request. @returns How it ended; status 0 if there was no answer. */
const send = (
  agent: Agent,
  place: RouterSlot,
  ask: Ask,
): Promise<Pick<CallerRecord, "status" | "body" | "isCut" | "hasLeft" | "drainingReplica">> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let hasLeft = false;
    let drainingReplica: string | undefined;
    const end = (status: number, isCut: boolean): void => {
      clearTimeout(timer);
      resolve({
        status,
        body: Buffer.concat(chunks).toString(),
        isCut,
        hasDisconnected: hasLeft,
        drainingReplica,
      });
    };
    const read = (response: IncomingMessage): void => {
      drainingReplica = drainingReplicaOf(response.headers);
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("end", () => end(response.statusCode ?? 0, !response.complete));
      response.on("error", () => end(response.statusCode ?? 0, true));
    };
    const method = ask.name === "read" ? "GET" : "POST";
    const path = `/${ask.name}/${ask.id}`;
    const request = httpRequest(place.url, { agent, method, path, headers: headersOf(ask, place) }, read);
    request.on("error", () => end(0, true));
    request.end(ask.sentBody);
    const leave = (): void => {
      hasLeft = true;
      request.destroy();
    };
    const timer = setTimeout(leave, ask.leaves ? times.leaveAfter : times.patience + times.leaveAfter);
  });

const isReady = async ({ readinessUrl }: RouterSlot): Promise<boolean> => {
  try {
    const answer = await fetch(readinessUrl, { signal: AbortSignal.timeout(times.readinessInterval) });
    await answer.arrayBuffer();
    return answer.ok;
  } catch {
    // No answer counts as a miss, which is what a balancer makes of it.
    return false;
  }
};

/** Asks routers whether they are ready, and keeps those in rotation that are. */
const followReadiness = (routers: readonly RouterSlot[], isRunning: () => boolean) => {
  const misses = new Map<string, number>();
  const follow = async (place: RouterSlot): Promise<void> => {
    while (isRunning()) {
      misses.set(place.name, (await isReady(place)) ? 0 : (misses.get(place.name) ?? 0) + 1);
      await sleep(times.readinessInterval);
    }
  };
  const done = Promise.all(routers.map(follow));
  const inRotation = (): readonly RouterSlot[] => {
    const ready = routers.filter(({ name }) => (misses.get(name) ?? mostMisses) < mostMisses);
    return ready.length > 0 ? ready : routers;
  };
  return { done, inRotation };
};

/** Starts callers. @param spareKeys - Keys besides the usual ones, which the operator may take away. */
export const startSoakCallers = (
  routers: readonly RouterSlot[],
  random: Random,
  spareKeys: readonly string[],
): SoakCallers => {
  const records: CallerRecord[] = [];
  let isRunning = true;
  let count = 0;
  const runs = (): boolean => isRunning;
  const readiness = followReadiness(routers, runs);

  const nextAsk = (): Ask => {
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
      leaves: random.uniform() < leavingShare,
    };
  };

  const callOnce = async (agent: Agent, place: RouterSlot): Promise<boolean> => {
    const ask = nextAsk();
    const sentAt = performance.now();
    const result = await send(agent, place, ask);
    const { id, name, key, organisation, sentBody } = ask;
    const asked = { id, name, key, organisation, sentBody, router: place.name };
    records.push({ ...asked, ...result, sentAt, endedAt: performance.now() });
    return result.status !== 0;
  };

  /** Each caller keeps its connection, whatever the balancer thinks, until it ends. */
  const callOn = async (): Promise<void> => {
    while (runs()) {
      const ready = readiness.inRotation();
      const place = ready[random.index(ready.length)];
      if (place === undefined) return;
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      const requests = 1 + random.index(20);
      for (let turn = 0; turn < requests; turn += 1) {
        if (!runs() || !(await callOnce(agent, place))) break;
        await sleep(times.thinking);
      }
      agent.destroy();
    }
  };
  const running = Promise.all(Array.from({ length: callers }, callOn));

  const stop = async (): Promise<void> => {
    isRunning = false;
    await running;
    await readiness.done;
  };
  return { records, stop, [Symbol.asyncDispose]: stop };
};
