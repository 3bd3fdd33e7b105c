/**
 * Follows what a store of prompt parts keeps.
 *
 * The store tells what it takes in and drops, so beliefs about it need no guess of its memory. It answers under
 * another incarnation after a restart, which loses everything: what was believed of it is forgotten then, and while
 * it doesn't answer no engine is sent to it, since a copy from a dead source holds a request up.
 */
import type { ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import type { CacheStore } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { withTimeLimit } from "../timeLimit.ts";
import type { CacheHolders } from "./cacheHolders.ts";
import { cacheStoreInterval, cacheStoreTimeout } from "./constants.ts";

/** What following works with. */
export interface CacheStoreFollowerParts {
  /** @returns The store that the configuration names now. */
  readonly configured: () => CacheStore | undefined;
  readonly client: Pick<ReplicaClient, "readCacheChanges">;
  readonly holders: Pick<CacheHolders, "noteChange" | "forget">;
  readonly clock: Clock;
  /** By how much the interval grows where there are many routers. */
  readonly stretch: () => number;
}

/** See {@link followCacheStore}. */
export interface CacheStoreFollower extends AsyncDisposable {
  /** @returns The store, if it answered when it was asked last. */
  readonly usable: () => CacheStore | undefined;
}

interface Followed {
  readonly store: CacheStore;
  incarnation: number | undefined;
  next: number;
  answers: boolean;
}

const writeLog = createLogger("cacheStore");

/** Begins to follow; ends when it is disposed of. */
export const followCacheStore = (parts: CacheStoreFollowerParts): CacheStoreFollower => {
  const { client, holders, clock } = parts;
  const ending = new AbortController();
  let followed: Followed | undefined;

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
    for (const change of told.changes) holders.noteChange(store.address, change);
    noteAnswers(current, true);
  };

  const choose = (): Followed | undefined => {
    const store = parts.configured();
    if (store === undefined) return undefined;
    if (followed?.store.address === store.address) return followed;
    if (followed !== undefined) holders.forget(followed.store.address);
    return { store, incarnation: undefined, next: 0, answers: false };
  };

  const look = async (): Promise<void> => {
    followed = choose();
    if (followed !== undefined) {
      const current = followed;
      await ask(current).catch((error: unknown) => {
        writeLog("unanswered", { store: current.store.address, reason: String(error) });
        noteAnswers(current, false);
      });
    }
    if (!ending.signal.aborted)
      callOff = clock.after(cacheStoreInterval * parts.stretch(), () => void look());
  };
  let callOff = clock.after(0, () => void look());

  return {
    usable: () => (followed?.answers === true ? followed.store : undefined),
    [Symbol.asyncDispose]: () => {
      callOff();
      ending.abort();
      return Promise.resolve();
    },
  };
};
