/** Callers behind a simulated load balancer: they use routers that report ready, over keep-alive connections. */
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

/** Running callers and their records. */
export interface SoakCallers extends AsyncDisposable {
  readonly records: readonly CallerRecord[];
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

interface Ask {
  readonly id: string;
  readonly name: RequestName;
  readonly key: string;
  readonly organisation: string;
  readonly sentBody: string;
  readonly disconnects: boolean;
}

const headersOf = ({ id, name, key }: Ask, { name: router }: RouterSlot): Record<string, string> => ({
  [routerHeader]: router,
  host: name === "read" || name === "post" ? hosts.desk : hosts.model,
  ...callHeaders(id, key, times.timeout),
  ...(name === "ask" || name === "tag" ? defaultPromptHeaders() : {}),
});

/** Sends one request. @returns Its outcome; status 0 if there was no answer. */
const send = (
  agent: Agent,
  slot: RouterSlot,
  planned: Ask,
): Promise<Pick<CallerRecord, "status" | "body" | "isCut" | "hasDisconnected" | "drainingReplica">> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let hasDisconnected = false;
    let drainingReplica: string | undefined;
    const end = (status: number, isCut: boolean): void => {
      clearTimeout(timer);
      resolve({ status, body: Buffer.concat(chunks).toString(), isCut, hasDisconnected, drainingReplica });
    };
    const read = (response: IncomingMessage): void => {
      drainingReplica = drainingReplicaOf(response.headers);
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("end", () => end(response.statusCode ?? 0, !response.complete));
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
  const poll = async (slot: RouterSlot): Promise<void> => {
    while (isRunning()) {
      misses.set(slot.name, (await isReady(slot)) ? 0 : (misses.get(slot.name) ?? 0) + 1);
      await sleep(times.readinessInterval);
    }
  };
  const done = Promise.all(routers.map(poll));
  const inRotation = (): readonly RouterSlot[] => {
    const ready = routers.filter(({ name }) => (misses.get(name) ?? missedProbesLimit) < missedProbesLimit);
    return ready.length > 0 ? ready : routers;
  };
  return { done, inRotation };
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

  const createRequest = (): Ask => {
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
    };
  };

  const sendNext = async (agent: Agent, slot: RouterSlot): Promise<boolean> => {
    const planned = createRequest();
    const sentAt = performance.now();
    const result = await send(agent, slot, planned);
    const { id, name, key, organisation, sentBody } = planned;
    const asked = { id, name, key, organisation, sentBody, router: slot.name };
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

  const stop = async (): Promise<void> => {
    isRunning = false;
    await running;
    await readiness.done;
  };
  return { records, stop, [Symbol.asyncDispose]: stop };
};
