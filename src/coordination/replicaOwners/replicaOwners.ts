/**
 * Every replica has one router that answers for it, and whoever places a request asks the owners of a few replicas
 * first: so placement knows the work at each replica as of now, however many routers there are, and messages grow
 * with the requests and not with the square of the routers.
 *
 * With few routers everybody tells everybody (see `routerPeers.ts`), and nobody is asked.
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
import { createConsultation } from "./ownerQueries.ts";
import { answersTeller, createOwnedReplicas, noWork } from "./ownedReplicas.ts";
import { createOwners } from "./owners.ts";
import type { WorkReports } from "./workReports.ts";
import { createWorkReports } from "./workReports.ts";

/** What asking and answering work with. */
export interface ReplicaOwnersDependencies {
  readonly self: RouterEntry;
  readonly link: DatagramLink;
  readonly clock: Clock;
  readonly replicas: ReplicaTable;
  readonly holders: Pick<CacheHolders, "noteKey" | "holdersOf">;
  readonly peers: Pick<RouterPeers, "isLarge" | "serving">;
  /** @returns The stores of prompt parts that the configuration names. */
  readonly cacheStores: () => readonly CacheStore[];
}

/** See {@link createReplicaOwners}. */
export interface ReplicaOwners extends AsyncDisposable {
  /** Whether there are so many routers that owners are asked. */
  readonly isEnabled: () => boolean;
  /** Whether this router answers for a replica. */
  readonly isOwnerOf: (replica: ReplicaState) => boolean;
  /** @returns Those of the replicas whose state is known now. */
  readonly query: (
    replicas: readonly ReplicaState[],
    keys: readonly number[],
  ) => Promise<readonly ReplicaState[]>;
  readonly reports: Pick<WorkReports, "noteBegin" | "noteChange" | "noteHolder">;
}

/** @returns Prompt tokens that all routers have had computed at a replica, as far as this one can know. */
export const countComputedTokens = (
  replica: ReplicaState | undefined,
  owners: Pick<ReplicaOwners, "isNeeded" | "isOwn">,
  peers: Pick<RouterPeers, "countLive">,
): number => {
  if (replica === undefined) return 0;
  const { computedTokens, reportedTokens } = replica;
  if (owners.isEnabled() && owners.isOwnerOf(replica)) return computedTokens + reportedTokens;
  // Other routers compute there as much as this one, on average.
  return computedTokens * peers.countLive();
};

/** Starts to ask and answer, until it is disposed of. */
export const createReplicaOwners = (parts: ReplicaOwnersDependencies): ReplicaOwners => {
  const { self, link, clock, replicas, holders, peers } = parts;
  const { name, dataCentre, incarnation, address, port } = self;
  const resources = createResourceStack();
  const owners = createOwners({
    self: { name, dataCentre, at: { address, port } },
    others: peers.serving,
    clock,
  });
  const owned = resources.use(
    createOwnedReplicas({ replicas, holders, cacheStores: parts.cacheStores, clock }),
  );
  const reports = resources.use(
    createWorkReports({ name, incarnation, link, owners, replicas, clock, isNeeded: peers.isLarge }),
  );

  const take = (answer: AnswerMessage): readonly ReplicaState[] => {
    const now = clock.monotonic();
    applyAnnouncedHolders(answer.holders, parts);
    return answer.reports.flatMap((report) => {
      const state = replicas.getByKey(report.replica);
      if (state === undefined) return [];
      replicas.replaceWorkAt(answersTeller, report.replica, report);
      // The owner looks after replicas that can't be reached; it has looked since this router found one so.
      if (report.ejectedFor === 0 && now >= state.ejectedUntil) state.isUnreachable = false;
      state.ejectedUntil = Math.max(state.ejectedUntil, now + report.ejectedFor);
      if (report.limit !== undefined) noteAnnouncedLimit(state, report.limit, now);
      return [state];
    });
  };

  const lapse = (told: readonly ReplicaState[]): void => {
    for (const { entry } of told) replicas.noteWorkAt(answersTeller, replicaKeyOf(entry.id), noWork);
  };

  const consultation = createConsultation({ name, link, owners, clock, take, lapse });

  link.receive((datagram, from) => {
    const message = decodeOwnerMessage(datagram);
    if (message?.kind === "work") owned.takeWork(message);
    else if (message?.kind === "answer") consultation.hear(message);
    else if (message !== undefined) link.send(from, encodeOwnerMessage(owned.answer(message)));
  });

  return {
    isEnabled: peers.isLarge,
    isOwnerOf: (replica) => owners.isSelf(owners.ownerOf(replica)),
    query: consultation.ask,
    reports,
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};
