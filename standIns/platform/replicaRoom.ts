/** The places of a replica: how many requests it runs and lets wait, and how it falls over if it is brittle. */

import type { ServerResponse } from "node:http";

/** Number of requests that run at once, and that may wait. */
export interface RoomSettings {
  readonly slots: number;
  readonly waiting: number;
}

/** How a brittle replica behaves. */
export interface Brittleness {
  /** It falls over after more rejections than this in a second. */
  readonly rejections: number;
  /** Requests that may wait while it is brittle. */
  readonly waiting: number;
  /** How long it is gone then, milliseconds. */
  readonly recoveryTime: number;
}

/** `left`: the caller was gone before there was a place. */
export type RoomEntry = "entered" | "full" | "left";

export interface ReplicaRoom {
  /** @returns Resolves when there is a place, which is free again once the response closes, or if there is none. */
  readonly enter: (response: ServerResponse) => Promise<RoomEntry>;
  /** `undefined` ends it. */
  readonly setBrittle: (brittleness: Brittleness | undefined) => void;
  readonly brittleness: () => Brittleness | undefined;
  readonly isFallen: () => boolean;
  /** @returns How often it has fallen over. */
  readonly falls: () => number;
}

const rejectionWindow = 1_000;

/** Creates the places; without settings there is no limit. @param onFall - Called when the replica falls over. */
export const createReplicaRoom = (settings: RoomSettings | undefined, onFall: () => void): ReplicaRoom => {
  const slots = settings?.slots ?? Number.POSITIVE_INFINITY;
  const queue: (() => void)[] = [];
  let running = 0;
  let brittleness: Brittleness | undefined;
  let rejections: number[] = [];
  let fallenUntil = Number.NEGATIVE_INFINITY;
  let falls = 0;

  const reject = (): RoomEntry => {
    const now = performance.now();
    rejections = [...rejections.filter((at) => at > now - rejectionWindow), now];
    if (brittleness !== undefined && rejections.length > brittleness.rejections && now > fallenUntil) {
      falls += 1;
      fallenUntil = now + brittleness.recoveryTime;
      rejections = [];
      onFall();
    }
    return "full";
  };

  const leave = (): void => {
    running -= 1;
    queue.shift()?.();
  };

  return {
    enter: async (response) => {
      const waiting = brittleness?.waiting ?? settings?.waiting ?? 0;
      if (running >= slots && queue.length >= waiting) return reject();
      if (running >= slots) await new Promise<void>((resolve) => queue.push(resolve));
      running += 1;
      if (response.destroyed) {
        leave();
        return "left";
      }
      response.on("close", leave);
      return "entered";
    },
    setBrittle: (next) => {
      brittleness = next;
    },
    brittleness: () => brittleness,
    isFallen: () => performance.now() < fallenUntil,
    falls: () => falls,
  };
};
