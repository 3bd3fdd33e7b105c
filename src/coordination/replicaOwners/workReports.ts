/**
 * Reports this router's work to owners: a new request at once, since the next decision about its replica may come
 * within a millisecond; ended requests and computed prompt parts in batches.
 */
import type { WorkMessage, WorkReport } from "../../protocol/forwarding/ownerMessage.ts";
import { encodeOwnerMessage } from "../../protocol/forwarding/ownerMessage.ts";
import type { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { AnnouncedHolder } from "../../protocol/forwarding/peerMessage.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import { isBackingOff } from "../replicaReports/backoff.ts";
import { toReportedLimitMessage } from "../../state/forwarding/reportedLimit.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { toOrganisationWork, wholeTokens } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import { maxReportedHolders, reportBatchInterval, reportRepeatInterval } from "./constants.ts";
import type { LiveRouter, Owners } from "./owners.ts";

export interface WorkReportsDependencies {
  readonly name: string;
  readonly incarnation: string;
  readonly link: DatagramLink;
  readonly owners: Owners;
  readonly replicas: ReplicaTable;
  readonly clock: Clock;
  /** @returns Whether there are enough routers for work to be reported to owners instead of all peers. */
  readonly isEnabled: () => boolean;
  /** Whether this router has no path to any replica: it then reports none as unreachable. */
  readonly isPartitioned: () => boolean;
}

export interface WorkReports extends AsyncDisposable {
  /** Reports that a request of this router has just been sent to a replica. */
  readonly noteRequestSent: (replica: ReplicaState) => void;
  /** Reports that a prompt was computed or a request has ended. */
  readonly noteWorkChanged: (replica: ReplicaState) => void;
  /**
   * Reports that a replica or a cache store computes or keeps a prompt part.
   *
   * @param replica - The replica whose owner gets the report.
   * @param holder - That replica, or the store that keeps the part for requests to it.
   */
  readonly noteHolder: (replica: ReplicaState, part: number, holder: string, isReady: boolean) => void;
}

interface Pending {
  readonly replica: ReplicaState;
  readonly holders: AnnouncedHolder[];
}

const createReport = (replica: ReplicaState, now: number, isPartitioned: boolean): WorkReport => ({
  replica: replicaKeyOf(replica.entry.id),
  requests: replica.requests,
  promptTokens: wholeTokens(replica.promptTokens),
  organisations: [...replica.organisationTokens].flatMap(toOrganisationWork),
  reservedTokens: Math.round(replica.reservedTokens),
  computedTokens: Math.max(0, Math.round(replica.computedTokens)),
  prefilledTokens: Math.round(replica.prefilledTokens),
  isUnreachable: replica.isUnreachable && !isPartitioned,
  isBackingOff: isBackingOff(replica, now),
  limit: replica.limit && toReportedLimitMessage(replica.limit, now),
});

/** Starts to report to owners until it is disposed of. */
export const createWorkReports = (dependencies: WorkReportsDependencies): WorkReports => {
  const { name, incarnation, link, owners, replicas, clock, isEnabled, isPartitioned } = dependencies;
  const pending = new Map<string, Pending>();
  let sequence = 0;
  let cancelFlush: (() => void) | undefined;

  const send = (owner: LiveRouter, reported: readonly Pending[]): void => {
    sequence += 1;
    const message: WorkMessage = {
      kind: "work",
      name,
      incarnation,
      sequence,
      reports: reported.map(({ replica }) => createReport(replica, clock.monotonic(), isPartitioned())),
      holders: reported.flatMap(({ holders }) => holders).slice(-maxReportedHolders),
    };
    link.send(owner.at, encodeOwnerMessage(message));
  };

  const flush = (): void => {
    cancelFlush?.();
    cancelFlush = undefined;
    const byOwner = new Map<LiveRouter, Pending[]>();
    for (const each of pending.values()) {
      const owner = owners.ownerOf(each.replica);
      if (owner === undefined || owners.isSelf(owner)) continue;
      const known = byOwner.get(owner);
      if (known === undefined) byOwner.set(owner, [each]);
      else known.push(each);
    }
    pending.clear();
    for (const [owner, reported] of byOwner) send(owner, reported);
  };

  const addPending = (replica: ReplicaState): Pending => {
    const { id } = replica.entry;
    const known = pending.get(id) ?? { replica, holders: [] };
    pending.set(id, known);
    return known;
  };

  const flushSoon = (): void => {
    cancelFlush ??= clock.after(reportBatchInterval, flush);
  };

  /** Repeats reports for new owners, and in case earlier reports got lost. */
  const repeat = (): void => {
    cancelRepeat = clock.after(reportRepeatInterval, repeat);
    if (!isEnabled()) return;
    const busy = replicas.all().filter(({ requests, isUnreachable }) => requests > 0 || isUnreachable);
    busy.forEach(addPending);
    if (pending.size > 0) flush();
  };
  let cancelRepeat = clock.after(reportRepeatInterval, repeat);

  return {
    noteRequestSent: (replica) => {
      if (!isEnabled()) return;
      addPending(replica);
      flush();
    },
    noteWorkChanged: (replica) => {
      if (!isEnabled()) return;
      addPending(replica);
      flushSoon();
    },
    noteHolder: (replica, part, holder, isReady) => {
      addPending(replica).holders.push({ part, replica: replicaKeyOf(holder), isReady });
      flushSoon();
    },
    [Symbol.asyncDispose]: () => {
      cancelFlush?.();
      cancelRepeat();
      return Promise.resolve();
    },
  };
};
