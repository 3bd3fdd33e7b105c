/** What this router has to tell its peers besides its own work. */
import type { RouterMessage } from "../../protocol/forwarding/peerMessage.ts";
import type { Clock } from "../clock.ts";
import { mostHolderNews, newsRepetition } from "./constants.ts";
import { createNews } from "./news.ts";

/** The fields of a message that carry news. */
export type NewsFields = Pick<RouterMessage, "weights" | "changing" | "leaving" | "holders">;

/** See {@link createRouterNews}. */
export interface RouterNews {
  /** A replica runs new weights. */
  readonly addWeights: (replica: string, model: string, version: number) => void;
  /** A replica is to get no new work until a moment on the monotonic clock. */
  readonly addChanging: (replica: string, until: number) => void;
  readonly addLeaving: (replica: string) => void;
  /** A replica keeps a prompt part. Told once: a copy that is not found for want of it costs little. */
  readonly addHolder: (key: number, replica: string) => void;
  /** Whether there is news of prompt parts that has not been taken. */
  readonly hasHolders: () => boolean;
  /** @returns What goes into the next message. */
  readonly take: () => NewsFields;
}

/** Creates news of nothing. */
export const createRouterNews = (clock: Clock): RouterNews => {
  const weights = createNews<RouterMessage["weights"][number]>(clock, newsRepetition);
  const changing = createNews<number>(clock, newsRepetition);
  const leaving = createNews<true>(clock, newsRepetition);
  let holders = new Map<string, RouterMessage["holders"][number]>();

  return {
    addWeights: (replica, model, version) => weights.add(`${replica} ${model}`, [replica, model, version]),
    addChanging: changing.add,
    addLeaving: (replica) => leaving.add(replica, true),
    addHolder: (key, replica) => {
      holders.set(`${key} ${replica}`, [key, replica]);
    },
    hasHolders: () => holders.size > 0,
    take: () => {
      const now = clock.monotonic();
      const told = [...holders.values()].slice(-mostHolderNews);
      holders = new Map();
      return {
        weights: weights.entries().map(([, news]) => news),
        changing: changing.entries().map(([id, until]) => [id, Math.max(0, Math.round(until - now))]),
        leaving: leaving.entries().map(([id]) => id),
        holders: told,
      };
    },
  };
};
