/**
 * Polls the cache stores, which keep prompt parts for engines, for their contents, and assigns each part to one of the stores.
 *
 * A store reports the parts that it saves and drops, so its contents need not be estimated from its memory size. After
 * a restart, which loses everything, it answers with another incarnation, and its entries are removed. While a store
 * doesn't answer, no engine copies from it, since a copy from a dead source delays the request.
 */
import type { ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import type { CacheStore } from "../../protocol/forwarding/types.ts";
import { hash32 } from "../../protocol/prefixLevels.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { withTimeLimit } from "../timeLimit.ts";
import type { CacheHolders } from "./cacheHolders.ts";
import { cacheStorePollInterval, cacheStoreTimeout } from "./constants.ts";
import { mixHashes } from "../placement/rendezvousReplica.ts";
import type { NetworkAddress } from "../../protocol/networkAddress.ts";
import { runInBackground, runTask } from "../../state/backgroundTasks.ts";

export interface CacheStoreFollowerDependencies {
  /** @returns The stores in the current configuration. */
  readonly configuredStores: () => readonly CacheStore[];
  readonly client: Pick<ReplicaClient, "readCacheChanges">;
  readonly holders: Pick<CacheHolders, "noteStoreChange" | "forget">;
  readonly clock: Clock;
  /** Factor by which the poll interval grows with the number of routers. */
  readonly intervalFactor: () => number;
}

/** Polls until it is disposed of. */
export interface CacheStoreFollower extends AsyncDisposable {
  /**
   * Assigns each part to one store, so that the stores' memories add up instead of holding the same parts.
   *
   * @param part - The hash of the prompt's deepest reusable part.
   * @returns The part's store, among those that answered the last poll; `undefined` if there are none.
   */
  readonly findStore: (part: number) => CacheStore | undefined;
}

interface FollowedStore {
  readonly store: CacheStore;
  readonly hash: number;
  incarnation: number | undefined;
  nextSequenceNumber: number;
  isAnswering: boolean;
}

const writeLog = createLogger("cacheStore");

/** Starts polling the configured stores. */
export const followCacheStores = (dependencies: CacheStoreFollowerDependencies): CacheStoreFollower => {
  const { client, holders, clock } = dependencies;
  const stopping = new AbortController();
  const followed = new Map<NetworkAddress, FollowedStore>();

  const noteAnswering = (current: FollowedStore, isAnswering: boolean): void => {
    if (current.isAnswering !== isAnswering) {
      writeLog(isAnswering ? "answers" : "silent", { store: current.store.address });
    }
    current.isAnswering = isAnswering;
  };

  const pollStore = async (current: FollowedStore): Promise<void> => {
    const { store, nextSequenceNumber } = current;
    const answer = await withTimeLimit(clock, stopping.signal, cacheStoreTimeout, (limit) =>
      client.readCacheChanges(store, nextSequenceNumber, limit),
    );
    const hasRestarted = current.incarnation !== undefined && current.incarnation !== answer.incarnation;
    current.incarnation = answer.incarnation;
    if (hasRestarted) {
      writeLog("restarted", { store: store.address, incarnation: answer.incarnation });
      holders.forget(store.address);
      // Its changes since the restart are read from the beginning with the next poll.
      current.nextSequenceNumber = 0;
      return;
    }
    current.nextSequenceNumber = answer.next;
    for (const change of answer.changes) holders.noteStoreChange(store.address, change);
    noteAnswering(current, true);
  };

  const applyConfigured = (): void => {
    const stores = new Map(dependencies.configuredStores().map((store) => [store.address, store]));
    for (const address of [...followed.keys()]) {
      if (stores.has(address)) continue;
      followed.delete(address);
      holders.forget(address);
    }
    for (const [address, store] of stores) {
      if (followed.has(address)) continue;
      const hash = hash32(address);
      followed.set(address, {
        store,
        hash,
        incarnation: undefined,
        nextSequenceNumber: 0,
        isAnswering: false,
      });
    }
  };

  const pollOrNoteFailure = async (current: FollowedStore): Promise<void> => {
    try {
      await pollStore(current);
    } catch (error) {
      writeLog("unanswered", { store: current.store.address, reason: String(error) });
      noteAnswering(current, false);
    }
  };

  const pollAll = async (): Promise<void> => {
    applyConfigured();
    await Promise.all([...followed.values()].map(pollOrNoteFailure));
  };

  const poll = async (): Promise<void> => {
    await runTask("pollCacheStores", pollAll);
    if (!stopping.signal.aborted)
      cancelPoll = clock.after(cacheStorePollInterval * dependencies.intervalFactor(), startPoll);
  };

  const startPoll = (): void => runInBackground("pollCacheStores", poll);

  const findStore = (part: number): CacheStore | undefined => {
    let best: FollowedStore | undefined;
    for (const each of followed.values()) {
      if (!each.isAnswering) continue;
      if (best === undefined || mixHashes(part, each.hash) > mixHashes(part, best.hash)) best = each;
    }
    return best?.store;
  };

  let cancelPoll = clock.after(0, startPoll);

  return {
    findStore,
    [Symbol.asyncDispose]: () => {
      cancelPoll();
      stopping.abort();
      return Promise.resolve();
    },
  };
};
