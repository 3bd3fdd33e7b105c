/** Gets records that a peer has announced, with few reads where many routers learn of them at the same time. */
import type { StorePosition } from "../../protocol/StorePosition.ts";
import type { Clock } from "../clock.ts";
import { announcedReadDelay } from "./constants.ts";

export interface AnnouncedReadsDependencies {
  readonly clock: Clock;
  /** @returns The position up to which all records are known. */
  readonly known: () => StorePosition | undefined;
  /** Asks a router that reads the store, if this router does not read it itself. */
  readonly query: () => void;
  /** Called if no newer record than at the announcement is known some time after it. */
  readonly onUnresolved: () => void;
}

export interface AnnouncedReads {
  /** Gets newer records that a peer has announced. */
  readonly request: () => void;
  readonly stop: () => void;
}

/** Creates reads for announcements; nothing is read before the first one. */
export const createAnnouncedReads = (dependencies: AnnouncedReadsDependencies): AnnouncedReads => {
  const { clock, known } = dependencies;
  let cancel: (() => void) | undefined;

  const readIfUnresolved = (before: StorePosition | undefined): void => {
    cancel = undefined;
    const now = known();
    const isResolved = before !== undefined && now?.epoch === before.epoch && before.isBefore(now);
    if (!isResolved) dependencies.onUnresolved();
  };

  return {
    request: () => {
      dependencies.query();
      const before = known();
      cancel ??= clock.after(announcedReadDelay, () => readIfUnresolved(before));
    },
    stop: () => cancel?.(),
  };
};
