/**
 * Every replica has an owner, a router that aggregates the work of all routers there. A router that places a request
 * first queries the owners of a few replicas. Placement therefore knows the current work at each of them, however many
 * routers there are, and the number of messages grows with the requests, not with the square of the routers.
 *
 * In a small deployment every router announces its work to all others (see `routerPeers.ts`), and no owner is queried.
 */
import type { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { AnswerMessage } from "../../protocol/forwarding/ownerMessage.ts";
import { decodeOwnerMessage, encodeOwnerMessage } from "../../protocol/forwarding/ownerMessage.ts";
import { replicaKeyOf } from "../../protocol/forwarding/peerMessage.ts";
import { createResourceStack } from "../../protocol/resourceStack.ts";
import type { CacheStore, RouterEntry } from "../../protocol/forwarding/types.ts";
import { noteAnnouncedLimit } from "../../state/forwarding/reportedLimit.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import type { CacheHolders } from "../forwarding/cacheHolders.ts";
import { applyAnnouncedHolders } from "../forwarding/applyAnnouncedHolders.ts";
import type { RouterPeers } from "../forwarding/routerPeers.ts";
import type { ReplicaSpeeds } from "../estimates/replicaSpeeds.ts";
import { createOwnerQueries } from "./ownerQueries.ts";
import { ownerAnswersSource, createOwnedReplicas, noWork } from "./ownedReplicas.ts";
import { createOwners } from "./owners.ts";
import type { WorkReports } from "./workReports.ts";
import { createWorkReports } from "./workReports.ts";

export interface ReplicaOwnersDependencies {
  readonly self: RouterEntry;
  readonly link: DatagramLink;
  readonly clock: Clock;
  readonly replicas: ReplicaTable;
  readonly holders: Pick<CacheHolders, "notePart" | "noteUsed" | "holdersOf" | "wasUsed">;
  readonly peers: Pick<RouterPeers, "isLarge" | "serving">;
  /** @returns The configured cache stores, which keep prompt parts. */
  readonly cacheStores: () => readonly CacheStore[];
  /** Whether this router's answers as an owner name the parts that were used before. */
  readonly reportsUsedParts?: boolean;
  /** Whether this router has no path to any replica; by default it has one. */
  readonly isPartitioned?: () => boolean;
  /** Measures the prefill rates that this router reports as the owner, and notes those of other owners. */
  readonly speeds?: ReplicaSpeeds | undefined;
}

export interface ReplicaOwners extends AsyncDisposable {
  /** @returns Whether there are enough routers for owners to be queried. */
  readonly isEnabled: () => boolean;
  /** @returns Whether this router is the owner of a replica. */
  readonly isOwnerOf: (replica: ReplicaState) => boolean;
  /**
   * Queries the owners of replicas for their state.
   *
   * @param keys - Keys of the prompt's parts.
   * @param organisation - Key of the organisation whose prompts are counted; 0 for none.
   * @returns The replicas whose state is known now.
   */
  readonly query: (
    replicas: readonly ReplicaState[],
    keys: readonly number[],
    organisation: number,
  ) => Promise<readonly ReplicaState[]>;
  readonly reports: Pick<WorkReports, "noteRequestSent" | "noteWorkChanged" | "noteHolder">;
}

/** @returns An estimate of the prompt tokens that a replica has computed for all routers. */
export const countComputedTokens = (
  replica: ReplicaState | undefined,
  owners: Pick<ReplicaOwners, "isEnabled" | "isOwnerOf">,
  peers: Pick<RouterPeers, "countLive">,
): number => {
  if (replica === undefined) return 0;
  const { computedTokens, reportedTokens } = replica;
  if (owners.isEnabled() && owners.isOwnerOf(replica)) return computedTokens + reportedTokens;
  // Assumes that other routers have as much computed there as this one, on average.
  return computedTokens * peers.countLive();
};

/** Creates the queries, answers and work reports of one router; they are active until disposed of. */
export const createReplicaOwners = (dependencies: ReplicaOwnersDependencies): ReplicaOwners => {
  const { self, link, clock, replicas, holders, peers, isPartitioned = () => false } = dependencies;
  const { name, dataCentre, incarnation, address, port } = self;
  const resources = createResourceStack();
  const owners = createOwners({
    self: { name, dataCentre, at: { address, port } },
    others: peers.serving,
    clock,
  });
  const owned = resources.use(
    createOwnedReplicas({
      replicas,
      holders,
      cacheStores: dependencies.cacheStores,
      reportsUsedParts: dependencies.reportsUsedParts ?? false,
      speeds: dependencies.speeds,
      clock,
      isPartitioned,
    }),
  );
  const reports = resources.use(
    createWorkReports({
      ...{ name, incarnation, link, owners, replicas, clock, isPartitioned },
      isEnabled: peers.isLarge,
    }),
  );

  const applyAnswer = (answer: AnswerMessage): readonly ReplicaState[] => {
    const now = clock.monotonic();
    answer.usedParts.forEach(holders.noteUsed);
    applyAnnouncedHolders(answer.holders, dependencies);
    return answer.reports.flatMap((report) => {
      const state = replicas.getByKey(report.replica);
      if (state === undefined) return [];
      replicas.replaceWorkAt(ownerAnswersSource, report.replica, report);
      if (report.prefillRate > 0) dependencies.speeds?.noteReceivedRate(state, report.prefillRate);
      // The owner monitors unreachable replicas, and has checked this one since this router marked it unreachable.
      if (report.ejectedFor === 0 && now >= state.ejectedUntil) state.isUnreachable = false;
      state.ejectedUntil = Math.max(state.ejectedUntil, now + report.ejectedFor);
      if (report.limit !== undefined) noteAnnouncedLimit(state, report.limit, now);
      return [state];
    });
  };

  const invalidate = (outdated: readonly ReplicaState[]): void => {
    for (const { entry } of outdated) replicas.noteWorkAt(ownerAnswersSource, replicaKeyOf(entry.id), noWork);
  };

  const queries = createOwnerQueries({ name, link, owners, clock, applyAnswer, invalidate });

  link.receive((datagram, from) => {
    const message = decodeOwnerMessage(datagram);
    if (message?.kind === "work") owned.applyWork(message);
    else if (message?.kind === "answer") queries.receiveAnswer(message);
    else if (message !== undefined) link.send(from, encodeOwnerMessage(owned.answer(message)));
  });

  return {
    isEnabled: peers.isLarge,
    isOwnerOf: (replica) => owners.isSelf(owners.ownerOf(replica)),
    query: queries.query,
    reports,
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};
