/** Tracks at which version each section changed, so that a peer can be sent only the sections that it lacks. */
import type { SectionDifference, SectionMap } from "../protocol/configuration/sections.ts";

/** Removed sections that are tracked. */
const maximumRemoved = 1_000;

/** The changes of sections, by version. */
export interface SectionChanges {
  /** Records the difference that led to a version. */
  note(version: number, difference: SectionDifference): void;
  /** Discards all changes; they are known from this version on. */
  restart(version: number): void;
  /** @returns The changes after version `base`; `undefined` if they are no longer known. */
  since(base: number, sections: SectionMap): SectionDifference | undefined;
}

export const createSectionChanges = (): SectionChanges => {
  const changedAt = new Map<string, number>();
  const removedAt = new Map<string, number>();
  let knownSince = Number.POSITIVE_INFINITY;

  const forgetOldestRemoval = (): void => {
    const [oldest] = removedAt;
    if (oldest === undefined || removedAt.size <= maximumRemoved) return;
    removedAt.delete(oldest[0]);
    knownSince = Math.max(knownSince, oldest[1]);
  };

  const noteRemoval = (section: string, version: number): void => {
    changedAt.delete(section);
    removedAt.delete(section);
    removedAt.set(section, version);
    forgetOldestRemoval();
  };

  return {
    note: (version, { put, remove }) => {
      for (const section of remove) noteRemoval(section, version);
      for (const { section } of put) {
        removedAt.delete(section);
        changedAt.set(section, version);
      }
    },
    restart: (version) => {
      changedAt.clear();
      removedAt.clear();
      knownSince = version;
    },
    since: (base, sections) => {
      if (base < knownSince) return undefined;
      const changed = [...sections.values()].filter(({ section }) => (changedAt.get(section) ?? -1) > base);
      const removed = [...removedAt].filter(([, version]) => version > base);
      return {
        put: changed.map(({ section, body }) => ({ section, body })),
        remove: removed.map(([section]) => section),
      };
    },
  };
};
