/**
 * Keeps a router that has not read the registry of replicas for long from sending requests to replicas that may have
 * left: it reads the registry first. If the store does not answer, requests go by what is known.
 */
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import { metricNames } from "../../state/constants.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import type { FeedFollower } from "../forwarding/feedFollower.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";
import { longestRegistryCheck, usableRegistryAgeShare } from "./constants.ts";

export interface RegistryFreshnessDependencies {
  readonly clock: Clock;
  readonly bounds: Pick<ForwardingBounds, "drain">;
  /** @returns Milliseconds since the time up to which all records of the registry are known. */
  readonly age: () => number;
  /** The regular reads of the registry: after one that failed, another one would only delay requests. */
  readonly feed: Pick<FeedFollower, "check" | "isFailing">;
  readonly metrics: Pick<Metrics, "count">;
}

export interface RegistryFreshness {
  /** @returns Whether requests may be sent to replicas by what is known of the registry. */
  readonly isUsable: () => boolean;
  /** Resolves when requests may be sent: after a read, or when none has succeeded in time. */
  readonly refresh: () => Promise<void>;
}

/** A registry that is always known: there is none to read. */
export const alwaysFresh: RegistryFreshness = {
  isUsable: () => true,
  refresh: () => Promise.resolve(),
};

const writeLog = createLogger("registry");

/** Creates the check; reads nothing before a request needs it. */
export const createRegistryFreshness = (dependencies: RegistryFreshnessDependencies): RegistryFreshness => {
  const { clock, bounds, age, feed, metrics } = dependencies;
  let check: Promise<void> | undefined;
  /** Whether the store has not answered the last check; until the registry is known again. */
  let isUnreachable = false;

  const isKnown = (): boolean => age() < bounds.drain * usableRegistryAgeShare;

  const runCheck = async (): Promise<void> => {
    metrics.count(metricNames.registryChecks);
    const askedAt = clock.monotonic();
    const limit = new AbortController();
    const isDone = await Promise.race([
      feed.check(),
      pause(clock, longestRegistryCheck, limit.signal).then(() => false),
    ]);
    limit.abort();
    isUnreachable = !isDone;
    const milliseconds = Math.round(clock.monotonic() - askedAt);
    writeLog("checked", { isDone, milliseconds, registryAge: Math.round(age()) });
  };

  return {
    isUsable: () => {
      if (!isKnown()) return isUnreachable || feed.isFailing();
      isUnreachable = false;
      return true;
    },
    refresh: () => {
      check ??= runCheck().finally(() => {
        check = undefined;
      });
      return check;
    },
  };
};
