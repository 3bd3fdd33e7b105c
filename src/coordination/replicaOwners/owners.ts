/**
 * Which router answers for a replica: of the live routers in the replica's data centre the one that comes first in
 * an order that every router computes alike. Nobody agrees on it: two owners for a moment each know a part of the
 * work, and a router that finds the first one silent asks the next.
 */
import type { DatagramAddress } from "../../protocol/forwarding/DatagramLink.ts";
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { mixHashes } from "../forwarding/rendezvousReplica.ts";
import { memberInterval, ownersTried, silentOwnerTimes } from "./constants.ts";

/** A router that may be serving. */
export interface LiveRouter {
  readonly name: string;
  readonly dataCentre: string;
  readonly at: DatagramAddress;
}

/** What owners are found with. */
export interface OwnersDependencies {
  readonly self: LiveRouter;
  /** @returns The other routers that may be serving; whether they answer shows when they are asked. */
  readonly others: () => readonly LiveRouter[];
  readonly clock: Clock;
}

/** See {@link createOwners}. */
export interface Owners {
  /** @returns The router that answers for a replica; nothing if those that would are all silent. */
  readonly ownerOf: (replica: ReplicaState) => LiveRouter | undefined;
  readonly isSelf: (owner: LiveRouter | undefined) => boolean;
  /** It did not answer in time. */
  readonly noteSilence: (name: string) => void;
  readonly noteAnswer: (name: string) => void;
}

interface Member {
  readonly router: LiveRouter;
  readonly hash: number;
}

interface Silence {
  readonly until: number;
  readonly length: number;
}

const writeLog = createLogger("owners");

/** Creates a view of the owners as one router has it. */
export const createOwners = ({ self, others, clock }: OwnersDependencies): Owners => {
  const silent = new Map<string, Silence>();
  let byDataCentre = new Map<string, readonly Member[]>();
  let everybody: readonly Member[] = [];
  /**
   * By a replica's hash: asked for several times a decision and once for every belief about a part; worked out each time
   * it took 2 to 3 % of a router's processor at 14 requests a second.
   */
  let orders = new Map<number, readonly LiveRouter[]>();
  let readAt = Number.NEGATIVE_INFINITY;

  const readMembers = (): void => {
    const now = clock.monotonic();
    if (now - readAt < memberInterval) return;
    readAt = now;
    everybody = [self, ...others()].map((router) => ({ router, hash: hash32(router.name) }));
    const grouped = new Map<string, Member[]>();
    for (const member of everybody) {
      const { dataCentre } = member.router;
      const known = grouped.get(dataCentre);
      if (known === undefined) grouped.set(dataCentre, [member]);
      else known.push(member);
    }
    byDataCentre = grouped;
    orders = new Map();
  };

  /** The first few for a replica, the first one first. */
  const firstFor = ({ hash, entry }: ReplicaState): readonly LiveRouter[] => {
    readMembers();
    const ordered = orders.get(hash);
    if (ordered !== undefined) return ordered;
    const members = byDataCentre.get(entry.dataCentre) ?? everybody;
    const first: { readonly router: LiveRouter; readonly score: number }[] = [];
    for (const { router, hash: own } of members) {
      const score = mixHashes(hash, own);
      const last = first[ownersTried - 1];
      if (last !== undefined && last.score >= score) continue;
      const place = first.findIndex((each) => each.score < score);
      first.splice(place < 0 ? first.length : place, 0, { router, score });
      first.length = Math.min(first.length, ownersTried);
    }
    const order = first.map(({ router }) => router);
    orders.set(hash, order);
    return order;
  };

  const isSilent = ({ name }: LiveRouter): boolean =>
    clock.monotonic() < (silent.get(name)?.until ?? Number.NEGATIVE_INFINITY);

  return {
    ownerOf: (replica) => firstFor(replica).find((router) => !isSilent(router)),
    isSelf: (owner) => owner?.name === self.name,
    noteSilence: (name) => {
      const before = silent.get(name)?.length ?? silentOwnerTimes.first / 2;
      const length = Math.min(before * 2, silentOwnerTimes.longest);
      silent.set(name, { until: clock.monotonic() + length, length });
      writeLog("silent", { owner: name, milliseconds: length });
    },
    noteAnswer: (name) => {
      silent.delete(name);
    },
  };
};
