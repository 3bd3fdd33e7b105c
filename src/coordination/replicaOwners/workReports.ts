/**
 * Tells owners of this router's work: a request that begins at once, since the next decision about its replica may
 * come within a millisecond; what ends, and parts that are computed, gathered for a moment.
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
import { wholeTokens } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import { mostHoldersTold, reportGathering, reportRepetition } from "./constants.ts";
import type { LiveRouter, Owners } from "./owners.ts";

/** What telling works with. */
export interface WorkReportsParts {
  readonly name: string;
  readonly incarnation: string;
  readonly link: DatagramLink;
  readonly owners: Owners;
  readonly replicas: ReplicaTable;
  readonly clock: Clock;
  /** Whether there are so many routers that owners are told instead of everybody. */
  readonly isNeeded: () => boolean;
}

/** See {@link createWorkReports}. */
export interface WorkReports extends AsyncDisposable {
  /** A request of this router has just been sent to a replica. */
  readonly noteRequestSent: (replica: ReplicaState) => void;
  /** A prompt was computed, or a request has ended. */
  readonly noteWorkChanged: (replica: ReplicaState) => void;
  /** A replica, or a store for the sake of what is sent to a replica, computes or keeps a part. */
  readonly noteHolder: (replica: ReplicaState, part: number, holder: string, isReady: boolean) => void;
}

interface Pending {
  readonly replica: ReplicaState;
  readonly holders: AnnouncedHolder[];
}

const reportOf = (replica: ReplicaState, now: number): WorkReport => ({
  replica: replicaKeyOf(replica.entry.id),
  requests: replica.requests,
  promptTokens: wholeTokens(replica.promptTokens),
  computedTokens: Math.max(0, Math.round(replica.computedTokens)),
  isUnreachable: replica.isUnreachable,
  isBackingOff: isBackingOff(replica, now),
  limit: replica.limit && toReportedLimitMessage(replica.limit, now),
});

/** Starts to tell owners, until it is disposed of. */
export const createWorkReports = (parts: WorkReportsParts): WorkReports => {
  const { name, incarnation, link, owners, replicas, clock, isNeeded } = parts;
  const pending = new Map<string, Pending>();
  let sequence = 0;
  let callOffFlush: (() => void) | undefined;

  const send = (owner: LiveRouter, told: readonly Pending[]): void => {
    sequence += 1;
    const message: WorkMessage = {
      kind: "work",
      name,
      incarnation,
      sequence,
      reports: told.map(({ replica }) => reportOf(replica, clock.monotonic())),
      holders: told.flatMap(({ holders }) => holders).slice(-mostHoldersTold),
    };
    link.send(owner.at, encodeOwnerMessage(message));
  };

  const flush = (): void => {
    callOffFlush?.();
    callOffFlush = undefined;
    const byOwner = new Map<LiveRouter, Pending[]>();
    for (const each of pending.values()) {
      const owner = owners.ownerOf(each.replica);
      if (owner === undefined || owners.isSelf(owner)) continue;
      const known = byOwner.get(owner);
      if (known === undefined) byOwner.set(owner, [each]);
      else known.push(each);
    }
    pending.clear();
    for (const [owner, told] of byOwner) send(owner, told);
  };

  const pend = (replica: ReplicaState): Pending => {
    const { id } = replica.entry;
    const known = pending.get(id) ?? { replica, holders: [] };
    pending.set(id, known);
    return known;
  };

  const flushSoon = (): void => {
    callOffFlush ??= clock.after(reportGathering, flush);
  };

  /** For owners that have just taken over, and for reports that got lost. */
  const repeat = (): void => {
    callOffRepeat = clock.after(reportRepetition, repeat);
    if (!isNeeded()) return;
    const busy = replicas.all().filter(({ requests, isUnreachable }) => requests > 0 || isUnreachable);
    busy.forEach(pend);
    if (pending.size > 0) flush();
  };
  let callOffRepeat = clock.after(reportRepetition, repeat);

  return {
    noteRequestSent: (replica) => {
      if (!isNeeded()) return;
      pend(replica);
      flush();
    },
    noteWorkChanged: (replica) => {
      if (!isNeeded()) return;
      pend(replica);
      flushSoon();
    },
    noteHolder: (replica, part, holder, isReady) => {
      pend(replica).holders.push({ part, replica: replicaKeyOf(holder), isReady });
      flushSoon();
    },
    [Symbol.asyncDispose]: () => {
      callOffFlush?.();
      callOffRepeat();
      return Promise.resolve();
    },
  };
};
