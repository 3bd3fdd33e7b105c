/** The routers of this data centre that count, and what falls to which of them. */
import type { Peer, PeerDirectory } from "../../state/peerDirectory.ts";
import type { Member, MembershipListener } from "./Membership.ts";
import { rendezvousFirst, rendezvousOrder } from "./rendezvous.ts";

/** What the list is made from. */
export interface LiveMembersDependencies {
  readonly directory: PeerDirectory;
  readonly self: () => Member;
  /** True once this router takes no more work. */
  readonly isLeaving: () => boolean;
}

/** The live members; see `Membership`. */
export interface LiveMembers {
  readonly current: () => readonly Member[];
  readonly names: () => readonly string[];
  readonly isHome: (key: string) => boolean;
  readonly representatives: (matter: string, count: number) => readonly string[];
  /** Makes the list anew, and tells listeners if it is another one. */
  readonly refresh: () => void;
  readonly subscribe: (listener: MembershipListener) => () => void;
}

const byName = (left: Member, right: Member): number => (left.name < right.name ? -1 : 1);

const isCounted = (peer: Peer): boolean => peer.state === "live" || peer.state === "suspect";

/** Makes the list. */
export const createLiveMembers = ({ directory, self, isLeaving }: LiveMembersDependencies): LiveMembers => {
  const listeners = new Set<MembershipListener>();
  /** Asked for every engine again and again, so remembered while the list stays the same. */
  const homes = new Map<string, boolean>();

  const count = (): readonly Member[] => {
    const me = self();
    const members: Member[] = directory
      .all()
      .filter((peer) => isCounted(peer) && peer.dataCentre === me.dataCentre)
      .map(({ name, dataCentre, incarnation }) => ({ name, dataCentre, incarnation }));
    if (!isLeaving() || members.length === 0) members.push(me);
    return members.sort(byName);
  };

  let live = count();
  const names = (): readonly string[] => live.map(({ name }) => name);

  const refresh = (): void => {
    const before = names().join();
    live = count();
    if (names().join() === before) return;
    homes.clear();
    for (const listener of listeners) listener(live);
  };

  const isHome = (key: string): boolean => {
    const known = homes.get(key);
    if (known !== undefined) return known;
    const home = rendezvousFirst(key, names()) === self().name;
    homes.set(key, home);
    return home;
  };

  return {
    current: () => live,
    names,
    isHome,
    representatives: (matter, wanted) => rendezvousOrder(matter, names()).slice(0, wanted),
    refresh,
    subscribe: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};
