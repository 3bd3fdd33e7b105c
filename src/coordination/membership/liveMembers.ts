/** The live routers of this data centre by the peer directory, and which of them is responsible for a key. */
import type { Peer, PeerDirectory } from "../../state/peerDirectory.ts";
import type { Member, MembershipListener } from "./Membership.ts";
import { rendezvousFirst, rendezvousOrder } from "./rendezvous.ts";

export interface LiveMembersDependencies {
  readonly directory: PeerDirectory;
  readonly self: () => Member;
  /** Whether this router accepts no more work. */
  readonly isLeaving: () => boolean;
}

/** The live members; the functions of the same name in `Membership` return what these do. */
export interface LiveMembers {
  readonly current: () => readonly Member[];
  readonly names: () => readonly string[];
  readonly isHome: (key: string) => boolean;
  readonly representatives: (key: string, count: number) => readonly string[];
  /** Reads the members from the directory again, and notifies listeners if their names have changed. */
  readonly refresh: () => void;
  readonly subscribe: (listener: MembershipListener) => () => void;
}

const byName = (left: Member, right: Member): number => (left.name < right.name ? -1 : 1);

const isMember = (peer: Peer): boolean => peer.state === "live" || peer.state === "suspect";

/** Creates the list from the present state of the directory. */
export const createLiveMembers = ({ directory, self, isLeaving }: LiveMembersDependencies): LiveMembers => {
  const listeners = new Set<MembershipListener>();
  /** Cached, since it is asked often for every engine; valid until the names of the members change. */
  const homeByKey = new Map<string, boolean>();

  const listMembers = (): readonly Member[] => {
    const me = self();
    const members: Member[] = directory
      .all()
      .filter((peer) => isMember(peer) && peer.dataCentre === me.dataCentre)
      .map(({ name, dataCentre, incarnation }) => ({ name, dataCentre, incarnation }));
    if (!isLeaving() || members.length === 0) members.push(me);
    return members.sort(byName);
  };

  let live = listMembers();
  const names = (): readonly string[] => live.map(({ name }) => name);

  const refresh = (): void => {
    const before = names().join();
    live = listMembers();
    if (names().join() === before) return;
    homeByKey.clear();
    for (const listener of listeners) listener(live);
  };

  const isHome = (key: string): boolean => {
    const known = homeByKey.get(key);
    if (known !== undefined) return known;
    const home = rendezvousFirst(key, names()) === self().name;
    homeByKey.set(key, home);
    return home;
  };

  return {
    current: () => live,
    names,
    isHome,
    representatives: (key, count) => rendezvousOrder(key, names()).slice(0, count),
    refresh,
    subscribe: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};
