/**
 * Follows what the stores of prompt parts keep, and says which of them a part belongs to.
 *
 * A store tells what it takes in and drops, so beliefs about it need no guess of its memory. It answers under
 * another incarnation after a restart, which loses everything: what was believed of it is forgotten then, and while
 * it doesn't answer no engine is sent to it, since a copy from a dead source holds a request up.
 */
import type { ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import type { CacheStore } from "../../protocol/forwarding/types.ts";
import { hash32 } from "../../protocol/prefixLevels.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { withTimeLimit } from "../timeLimit.ts";
import type { CacheHolders } from "./cacheHolders.ts";
import { cacheStoreInterval, cacheStoreTimeout } from "./constants.ts";
import { mixHashes } from "./rendezvousReplica.ts";

/** What following works with. */
export interface CacheStoreFollowerDependencies {
  /** @returns The stores that the configuration names now. */
  readonly configuredStores: () => readonly CacheStore[];
  readonly client: Pick<ReplicaClient, "readCacheChanges">;
  readonly holders: Pick<CacheHolders, "noteChange" | "forget">;
  readonly clock: Clock;
  /** By how much the interval grows where there are many routers. */
  readonly intervalFactor: () => number;
}

/** See {@link followCacheStores}. */
export interface CacheStoreFollower extends AsyncDisposable {
  /**
   * Each part belongs to one store, so that they hold as much as all their memory together.
   *
   * @param part - The hash of the deepest part that others may share.
   * @returns The part's store, of those that answered when they were asked last.
   */
  readonly findStore: (part: number) => CacheStore | undefined;
}

interface Followed {
  readonly store: CacheStore;
  readonly hash: number;
  incarnation: number | undefined;
  next: number;
  answers: boolean;
}

const writeLog = createLogger("cacheStore");

/** Begins to follow; ends when it is disposed of. */
export const followCacheStores = (parts: CacheStoreFollowerDependencies): CacheStoreFollower => {
  const { client, holders, clock } = parts;
  const ending = new AbortController();
  const followed = new Map<string, Followed>();

  const noteAnswers = (current: Followed, answers: boolean): void => {
    if (current.answers !== answers) {
      writeLog(answers ? "answers" : "silent", { store: current.store.address });
    }
    current.answers = answers;
  };

  const ask = async (current: Followed): Promise<void> => {
    const { store, next } = current;
    const told = await withTimeLimit(clock, ending.signal, cacheStoreTimeout, (limit) =>
      client.readCacheChanges(store, next, limit),
    );
    const hasRestarted = current.incarnation !== undefined && current.incarnation !== told.incarnation;
    current.incarnation = told.incarnation;
    if (hasRestarted) {
      writeLog("restarted", { store: store.address, incarnation: told.incarnation });
      holders.forget(store.address);
      // What it has taken in since is told from the beginning.
      current.next = 0;
      return;
    }
    current.next = told.next;
    for (const change of told.changes) holders.noteStoreChange(store.address, change);
    noteAnswers(current, true);
  };

  const takeConfigured = (): void => {
    const stores = new Map(parts.configuredStores().map((store) => [store.address, store]));
    for (const address of [...followed.keys()]) {
      if (stores.has(address)) continue;
      followed.delete(address);
      holders.forget(address);
    }
    for (const [address, store] of stores) {
      if (followed.has(address)) continue;
      const hash = hash32(address);
      followed.set(address, { store, hash, incarnation: undefined, next: 0, answers: false });
    }
  };

  const askOrNote = async (current: Followed): Promise<void> => {
    try {
      await ask(current);
    } catch (error) {
      writeLog("unanswered", { store: current.store.address, reason: String(error) });
      noteAnswers(current, false);
    }
  };

  const look = async (): Promise<void> => {
    takeConfigured();
    await Promise.all([...followed.values()].map(askOrNote));
    if (!ending.signal.aborted)
      callOff = clock.after(cacheStoreInterval * parts.intervalFactor(), () => void look());
  };

  const usable = (part: number): CacheStore | undefined => {
    let best: Followed | undefined;
    for (const each of followed.values()) {
      if (!each.answers) continue;
      if (best === undefined || mixHashes(part, each.hash) > mixHashes(part, best.hash)) best = each;
    }
    return best?.store;
  };

  let callOff = clock.after(0, () => void look());

  return {
    findStore: usable,
    [Symbol.asyncDispose]: () => {
      callOff();
      ending.abort();
      return Promise.resolve();
    },
  };
};
