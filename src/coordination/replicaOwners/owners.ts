/**
 * Determines the owner of a replica: of the live routers in the replica's data centre the first by rendezvous hashing,
 * which every router computes alike. There is no agreement protocol: two owners at a time each know a part of the work,
 * and a router that finds the first one unreachable asks the next.
 */
import type { DatagramAddress } from "../../protocol/forwarding/DatagramLink.ts";
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createLogger } from "../../state/log.ts";
import { groupBy } from "../../state/groupBy.ts";
import type { Clock } from "../clock.ts";
import { mixHashes } from "../placement/rendezvousReplica.ts";
import { membersRefreshInterval, maxOwnerCandidates, unreachableOwnerTimes } from "./constants.ts";

/** A router that may be serving; it may be unreachable. */
export interface LiveRouter {
  readonly name: string;
  readonly dataCentre: string;
  readonly at: DatagramAddress;
}

export interface OwnersDependencies {
  readonly self: LiveRouter;
  /** @returns The other routers that may be serving; some of them may be unreachable. */
  readonly others: () => readonly LiveRouter[];
  readonly clock: Clock;
}

export interface Owners {
  /** @returns The owner of a replica; `undefined` if all candidates are unreachable. */
  readonly ownerOf: (replica: ReplicaState) => LiveRouter | undefined;
  readonly isSelf: (owner: LiveRouter | undefined) => boolean;
  /** Records that a router did not answer in time. */
  readonly noteTimeout: (name: string) => void;
  readonly noteAnswer: (name: string) => void;
}

interface Member {
  readonly router: LiveRouter;
  readonly hash: number;
}

interface Unreachability {
  readonly until: number;
  readonly length: number;
}

const writeLog = createLogger("owners");

/** Creates one router's view of the owners. */
export const createOwners = ({ self, others, clock }: OwnersDependencies): Owners => {
  const unreachable = new Map<string, Unreachability>();
  let byDataCentre: ReadonlyMap<string, readonly Member[]> = new Map();
  let allMembers: readonly Member[] = [];
  /**
   * Cached candidates by a replica's hash. They are needed several times for each decision and once for every update
   * about a part; computing them each time takes 2 to 3 % of a router's processor at 14 requests a second.
   */
  let candidatesByHash = new Map<number, readonly LiveRouter[]>();
  let readAt = Number.NEGATIVE_INFINITY;

  const readMembers = (): void => {
    const now = clock.monotonic();
    if (now - readAt < membersRefreshInterval) return;
    readAt = now;
    allMembers = [self, ...others()].map((router) => ({ router, hash: hash32(router.name) }));
    byDataCentre = groupBy(allMembers, ({ router }) => router.dataCentre);
    candidatesByHash = new Map();
  };

  /** @returns The candidates for the owner of a replica, in rank order. */
  const candidatesFor = ({ hash, entry }: ReplicaState): readonly LiveRouter[] => {
    readMembers();
    const cached = candidatesByHash.get(hash);
    if (cached !== undefined) return cached;
    const members = byDataCentre.get(entry.dataCentre) ?? allMembers;
    const first: { readonly router: LiveRouter; readonly score: number }[] = [];
    for (const { router, hash: routerHash } of members) {
      const score = mixHashes(hash, routerHash);
      const last = first[maxOwnerCandidates - 1];
      if (last !== undefined && last.score >= score) continue;
      const place = first.findIndex((each) => each.score < score);
      first.splice(place < 0 ? first.length : place, 0, { router, score });
      first.length = Math.min(first.length, maxOwnerCandidates);
    }
    const candidates = first.map(({ router }) => router);
    candidatesByHash.set(hash, candidates);
    return candidates;
  };

  const isUnreachable = ({ name }: LiveRouter): boolean =>
    clock.monotonic() < (unreachable.get(name)?.until ?? Number.NEGATIVE_INFINITY);

  return {
    ownerOf: (replica) => candidatesFor(replica).find((router) => !isUnreachable(router)),
    isSelf: (owner) => owner?.name === self.name,
    noteTimeout: (name) => {
      const before = unreachable.get(name)?.length ?? unreachableOwnerTimes.first / 2;
      const length = Math.min(before * 2, unreachableOwnerTimes.longest);
      unreachable.set(name, { until: clock.monotonic() + length, length });
      writeLog("silent", { owner: name, milliseconds: length });
    },
    noteAnswer: (name) => {
      unreachable.delete(name);
    },
  };
};
