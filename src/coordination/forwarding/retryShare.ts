/**
 * This router's share of the retry budget that all routers have together for a service: what its own requests pay, and a
 * part of the shared reserve.
 */
import type { Clock } from "../clock.ts";
import type { RetryReserve } from "./reserveShare.ts";
import type { RetryLedger } from "./retryLedger.ts";
import { createRetryLedger } from "./retryLedger.ts";
import type { ForwardingBounds } from "./types.ts";

/** This router's part of a service's retry budget in the present window. */
export interface RetryShareState {
  /** Requests of callers and retries that this router counted. */
  readonly requests: number;
  readonly retries: number;
  /** Retries that it has made and may make now. */
  readonly allowed: number;
  /** How many routers the reserve is divided by. */
  readonly routers: number;
}

export interface RetryShare {
  /** Counts a caller's request for the service. */
  readonly noteRequest: (service: string) => void;
  /** @returns Whether a retry may be made now; if so, it is counted. */
  readonly tryTake: (service: string) => boolean;
  /**
   * Like {@link RetryShare.tryTake}, but a process whose part of the reserve is not known yet waits for it first.
   *
   * @param signal - Aborted when the retry is not needed any more.
   */
  readonly take: (service: string, signal: AbortSignal) => Promise<boolean>;
  readonly stateOf: (service: string) => RetryShareState;
  /** @returns The state of each service that had requests. */
  readonly states: () => ReadonlyMap<string, RetryShareState>;
}

export interface RetryShareDependencies {
  readonly clock: Clock;
  readonly bounds: ForwardingBounds;
  readonly reserveShare: RetryReserve;
}

/** Creates a share with empty windows. */
export const createRetryShare = ({ clock, bounds, reserveShare }: RetryShareDependencies): RetryShare => {
  const ledgers = new Map<string, RetryLedger>();

  const ledgerOf = (service: string): RetryLedger => {
    const known = ledgers.get(service);
    if (known !== undefined) return known;
    const created = createRetryLedger(clock, bounds.retryWindow, bounds.retryRatio);
    ledgers.set(service, created);
    return created;
  };

  const available = (ledger: RetryLedger): number =>
    ledger.available(bounds.retryReserve * reserveShare.share());

  const stateOf = (service: string): RetryShareState => {
    const ledger = ledgerOf(service);
    const retries = ledger.retries();
    return {
      requests: ledger.requests(),
      retries,
      allowed: retries + Math.max(0, Math.floor(available(ledger))),
      routers: reserveShare.routers(),
    };
  };

  const tryTake = (service: string): boolean => {
    const ledger = ledgerOf(service);
    if (available(ledger) < 1) {
      reserveShare.noteShortage();
      return false;
    }
    ledger.noteRetry();
    return true;
  };

  return {
    noteRequest: (service) => {
      reserveShare.sample();
      ledgerOf(service).noteRequest();
    },
    tryTake,
    take: async (service, signal) => {
      if (tryTake(service)) return true;
      if (reserveShare.isOriginKnown()) return false;
      await reserveShare.whenOriginKnown(signal);
      return !signal.aborted && tryTake(service);
    },
    stateOf,
    states: () => new Map([...ledgers.keys()].map((service) => [service, stateOf(service)])),
  };
};
