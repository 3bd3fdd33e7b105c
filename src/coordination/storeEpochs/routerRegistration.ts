/**
 * Registers a router in the platform's store, once for each epoch of the store, and finds out whether it starts together
 * with all others.
 *
 * A router that has found no record of a bootstrapped system waits until no more routers appear or it is short of its
 * part of the reserve for retries, writes such a record and then reads the list. Of the routers that registered before
 * the first of these records, each finds all others; who registers later finds the record.
 */
import type { RecordFeed } from "../../protocol/forwarding/RecordFeed.ts";
import { presentValues } from "../../protocol/forwarding/RecordFeed.ts";
import type { RegisteredRouter, RouterEntry } from "../../protocol/forwarding/types.ts";
import type { EpochSource, StoreEpoch } from "../../protocol/storeEpoch.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { bootstrapCheckInterval, bootstrapPause, registrationSpreadPerRouter } from "./constants.ts";
import { createStableCount } from "./stableCount.ts";

/**
 * How a router came into the system:
 *
 * - `bootstrap`: it started together with the others, none of which has used its part of a shared budget
 * - `join`: others may have used theirs
 * - `restart`: so may its own predecessor, which had its name
 */
export type RouterOrigin = "bootstrap" | "join" | "restart";

export interface RegistrationDependencies {
  readonly self: RouterEntry;
  readonly feed: RecordFeed<RegisteredRouter>;
  readonly epochs: EpochSource;
  readonly clock: Clock;
  /** @returns Milliseconds to wait after a failed attempt. */
  readonly retryInterval: () => number;
  /** @returns The number of routers that may be serving. */
  readonly countRouters: () => number;
  /** Whether this router is short of its part of a shared budget. */
  readonly isBootstrapUrgent: () => boolean;
  /** @returns A number from 0 to 1. */
  readonly random: () => number;
  /**
   * Called with the routers that the store lists.
   *
   * @param origin - `undefined` while it is not known.
   */
  readonly onListed: (entries: readonly RouterEntry[], origin: RouterOrigin | undefined) => void;
}

const writeLog = createLogger("router");

const isSystemBootstrapped = (entries: readonly RegisteredRouter[]): boolean =>
  entries.some(({ isBootstrapped }) => isBootstrapped);

/** @returns The origin that a list shows; `undefined` for a router that may start together with all others. */
const findOrigin = (entries: readonly RegisteredRouter[], self: RouterEntry): RouterOrigin | undefined => {
  if (entries.some(({ name }) => name === self.name)) return "restart";
  return isSystemBootstrapped(entries) ? "join" : undefined;
};

/** Starts to register in each epoch until it is disposed of. */
export const startRegistration = (dependencies: RegistrationDependencies): AsyncDisposable => {
  const { self, feed, epochs, clock } = dependencies;
  const stop = new AbortController();
  let registeredIn: StoreEpoch | undefined;
  let origin: RouterOrigin | undefined;
  /** Whether a write of this process may have replaced the entry of its predecessor. */
  let hasWritten = false;
  let task = Promise.resolve();

  const list = async (): Promise<readonly RegisteredRouter[]> => presentValues(await feed.newest());

  const put = (isBootstrapped: boolean): Promise<StoreEpoch> => {
    hasWritten = true;
    return feed.put(self.name, { ...self, isBootstrapped });
  };

  const attempt = async (): Promise<void> => {
    if (!hasWritten) origin = findOrigin(await list(), self);
    if (registeredIn !== undefined) origin ??= "join";
    const epoch = await put(origin !== undefined);
    // Read after writing: of two routers that register at once, one finds the other.
    const entries = await list();
    if (isSystemBootstrapped(entries)) origin ??= "join";
    dependencies.onListed(entries, origin);
    registeredIn = epoch;
  };

  /** Waits until no router has appeared for a while, or this one is short of its part. */
  const waitForOthers = async (): Promise<void> => {
    const routers = createStableCount(clock, bootstrapPause);
    while (!stop.signal.aborted && !dependencies.isBootstrapUrgent() && !routers.isStable()) {
      routers.note(dependencies.countRouters());
      await pause(clock, bootstrapCheckInterval, stop.signal);
    }
  };

  const bootstrap = async (): Promise<void> => {
    let entries = await list();
    if (!isSystemBootstrapped(entries)) {
      await put(true);
      entries = await list();
    }
    // Other routers' records may be lost; this one registers again, and joins.
    if (registeredIn !== epochs.current()) return;
    origin = "bootstrap";
    dependencies.onListed(entries, origin);
  };

  const retry = async (isDone: () => boolean, call: () => Promise<void>): Promise<void> => {
    while (!stop.signal.aborted && !isDone()) {
      try {
        await call();
      } catch (error) {
        writeLog("registration_failed", { reason: String(error) });
        await pause(clock, dependencies.retryInterval(), stop.signal);
      }
    }
  };

  const register = async (delay: number): Promise<void> => {
    await pause(clock, delay, stop.signal);
    await retry(() => registeredIn === epochs.current(), attempt);
    if (registeredIn !== undefined && !stop.signal.aborted) writeLog("registered", { epoch: registeredIn });
  };

  const registerFirst = async (): Promise<void> => {
    await register(0);
    if (origin === undefined) await waitForOthers();
    const isSettled = (): boolean => origin !== undefined || registeredIn !== epochs.current();
    await retry(isSettled, bootstrap);
    if (!stop.signal.aborted) writeLog("origin_known", { origin: origin ?? null });
  };

  const registerLater = (delay: number): void => {
    task = task.then(() => register(delay));
  };

  task = registerFirst();
  epochs.subscribe(() =>
    registerLater(dependencies.random() * dependencies.countRouters() * registrationSpreadPerRouter),
  );

  return {
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await task;
    },
  };
};
