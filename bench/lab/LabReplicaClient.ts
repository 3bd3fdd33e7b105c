/** A replica client that runs requests on simulated engines instead of sending them over the network. */
import type { Clock } from "../../src/coordination/clock.ts";
import { pause } from "../../src/coordination/clock.ts";
import { upstreamError } from "../../src/protocol/errors.ts";
import type {
  AnswerProbeResult,
  ConnectionProbeResult,
} from "../../src/protocol/forwarding/ReplicaClient.ts";
import { ReplicaClient } from "../../src/protocol/forwarding/ReplicaClient.ts";
import type {
  AnswerHead,
  CacheChanges,
  EngineStatus,
  OrderOutcome,
  ReplicaAnswer,
  ReplicaCall,
  ReplicaEntry,
} from "../../src/protocol/forwarding/types.ts";
import type { PrefixLevel } from "../../src/protocol/types.ts";
import type { LabFleet, LabRefusal, LabReplica } from "./fleet.ts";

/** One-way latency between a router and an engine, milliseconds. */
const latency = 0.5;

/** Connection timeout, milliseconds; requests to an unresponsive engine hang for a multiple of it. */
const connectTimeout = 400;

const headOf = (
  { request }: ReplicaCall,
  weightsVersion: number,
  { limit, isDraining }: Pick<LabReplica, "limit" | "isDraining">,
): AnswerHead => ({
  status: 200,
  headers: [],
  echoedId: request.id,
  isSealed: true,
  isNotExecuted: false,
  isMisdirected: false,
  replicaId: undefined,
  weightsVersion,
  limit: limit?.isNamed === true ? limit.perSecond : undefined,
  isDraining,
  retryAfter: undefined,
  isEncoded: false,
  closesConnection: false,
});

/** The reports of an engine that reports neither a limit nor draining. */
const nothingReported = { limit: undefined, isDraining: false } as const;

const limitWindow = 1_000;

/** Whether an engine that enforces its limit has received as many requests as it allows within the last window. */
const isOverLimit = ({ limit, arrivals }: LabReplica, now: number): boolean => {
  if (limit?.refuses !== true) return false;
  return arrivals.filter((at) => at > now - limitWindow).length >= limit.perSecond;
};

/** Levels of a prompt, keyed by the router's cache salt: prompts with different salts share nothing. */
const levelsOf = ({ request, cacheSalt }: ReplicaCall): readonly PrefixLevel[] => {
  let tokens = 0;
  return (request.prompt?.parts ?? []).map((part) => {
    tokens += part.tokens;
    return { key: `${cacheSalt ?? ""} ${part.id}`, tokens };
  });
};

/** Creates a stream of answer events for one reader, filled while the engine generates them. */
const createEventStream = () => {
  let available = 0;
  let failure: Error | undefined;
  let isEnded = false;
  let wake: () => void = () => undefined;
  return {
    add: (): void => {
      available += 1;
      wake();
    },
    end: (error?: Error): void => {
      failure = error;
      isEnded = true;
      wake();
    },
    read: async function* (onAbandoned: () => void): AsyncGenerator<Buffer, void> {
      let read = 0;
      try {
        for (;;) {
          while (read < available) {
            read += 1;
            yield Buffer.from(`id: ${read}\n\n`);
          }
          if (failure !== undefined) throw failure;
          if (isEnded) return;
          await new Promise<void>((resolve) => {
            wake = resolve;
          });
        }
      } finally {
        if (!isEnded) onAbandoned();
      }
    },
  };
};

/** The replica client of one simulated router. */
export class LabReplicaClient extends ReplicaClient {
  private readonly fleet: LabFleet;
  private readonly clock: Clock;
  private readonly router: string;

  /** @param router - The router's name. */
  constructor(fleet: LabFleet, clock: Clock, router: string) {
    super();
    this.fleet = fleet;
    this.clock = clock;
    this.router = router;
  }

  protected override async transmit(call: ReplicaCall, signal: AbortSignal): Promise<ReplicaAnswer> {
    await pause(this.clock, latency, signal);
    if (signal.aborted || !call.maySend()) throw upstreamError("cancelled", "cancelled", "not_sent");
    const replica = this.fleet.find(call.replica.id);
    if (replica === undefined || replica.state === "dark") return this.hang(signal);
    if (replica.state === "down") throw upstreamError("cannot connect", "unreachable", "not_sent");
    if (replica.state === "loading" || replica.version !== (call.weightsVersion ?? replica.version)) {
      return this.refuse(call, replica.version, replica.state === "loading" ? 503 : 421);
    }
    this.fleet.reports.recordArrival(replica.entry.id, this.router);
    if (replica.refusal !== undefined) return this.refuseWithBackoff(call, replica, replica.refusal);
    const isEnded = isOverLimit(replica, this.clock.monotonic());
    replica.arrivals.push(this.clock.monotonic());
    return isEnded ? this.refuse(call, replica.version, 503) : this.run(call, signal);
  }

  override async probeConnection({ id }: ReplicaEntry, timeout: number): Promise<ConnectionProbeResult> {
    const state = this.fleet.find(id)?.state;
    const isUnresponsive = state === "dark" || state === undefined;
    await pause(this.clock, isUnresponsive ? timeout : latency);
    if (isUnresponsive) return "silent";
    return state === "down" ? "refused" : "made";
  }

  override async probeAnswer(engine: ReplicaEntry, timeout: number): Promise<AnswerProbeResult> {
    return (await this.probeConnection(engine, timeout)) === "made" ? "answered" : "none";
  }

  override readStatus({ id }: ReplicaEntry): Promise<EngineStatus> {
    const replica = this.fleet.find(id);
    const weights = new Map([[this.fleet.model, replica?.version ?? 1]]);
    const isChanging = replica?.state === "loading";
    return Promise.resolve({
      weights,
      isChanging,
      acceptedOrders: 0,
      bornAt: undefined,
      waiting: 0,
      running: 0,
    });
  }

  override readCacheChanges(_store: unknown, since: number): Promise<CacheChanges> {
    return this.fleet.readStoreChanges(since);
  }

  override order(): Promise<OrderOutcome> {
    return Promise.resolve("refused");
  }

  override limitConnections(): void {
    // The lab does not model connections.
  }

  override forget(): void {
    // There is no state for each replica.
  }

  override [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve();
  }

  private async hang(signal: AbortSignal): Promise<never> {
    await pause(this.clock, connectTimeout * 100, signal);
    throw upstreamError("cancelled", "cancelled", "sent");
  }

  private refuse(call: ReplicaCall, version: number, status: number): ReplicaAnswer {
    const replica = this.fleet.find(call.replica.id) ?? nothingReported;
    const head = {
      ...headOf(call, version, replica),
      status,
      isNotExecuted: true,
      isMisdirected: status === 421,
    };
    return { head, framing: "length", body: createEmptyBody() };
  }

  private refuseWithBackoff(
    call: ReplicaCall,
    { entry, version }: LabReplica,
    { retryAfter }: LabRefusal,
  ): ReplicaAnswer {
    if (retryAfter !== undefined) this.fleet.reports.recordBackoff(entry.id, this.router, retryAfter);
    const refused = this.refuse(call, version, 503);
    return { ...refused, head: { ...refused.head, retryAfter } };
  }

  private run(call: ReplicaCall, signal: AbortSignal): Promise<ReplicaAnswer> {
    const replica = this.fleet.find(call.replica.id);
    const events = createEventStream();
    return new Promise((resolve, reject) => {
      let hasStarted = false;
      const start = (): void => {
        hasStarted = true;
        const body = events.read(() => cancel?.());
        if (replica?.isDraining === true) this.fleet.reports.recordDraining(replica.entry.id, this.router);
        resolve({
          head: headOf(call, replica?.version ?? 1, replica ?? nothingReported),
          framing: "chunks",
          body,
        });
      };
      const cancel = replica?.engine.submit({
        priority: call.priority ?? 5,
        levels: levelsOf(call),
        answerTokens: this.fleet.answerTokens(call.request.id),
        source: this.fleet.cacheAt(call.fetchFrom),
        saveTo: this.fleet.cacheAt(call.saveTo),
        onEvent: () =>
          this.clock.after(latency, () => {
            events.add();
            if (!hasStarted) start();
          }),
        onEnd: (ended) =>
          this.clock.after(latency, () => {
            signal.removeEventListener("abort", abort);
            const failure = upstreamError(
              "the connection failed",
              "closed_early",
              hasStarted ? "streaming" : "sent",
            );
            events.end(ended === "failed" ? failure : undefined);
            if (ended === "failed") reject(failure);
          }),
      });
      const abort = (): void => {
        cancel?.();
        const error = upstreamError("cancelled", "cancelled", hasStarted ? "streaming" : "sent");
        events.end(error);
        reject(error);
      };
      if (cancel === undefined) reject(upstreamError("cannot connect", "unreachable", "not_sent"));
      signal.addEventListener("abort", abort, { once: true });
    });
  }
}

const createEmptyBody = async function* (): AsyncGenerator<Buffer, void> {
  // A refusal has no body.
};
