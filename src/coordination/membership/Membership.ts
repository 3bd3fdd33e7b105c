/** Which routers of this data centre are alive, and which of them is responsible for a key. */

/** A router of the system. */
export interface Member {
  /** The VM's id in the platform's VM list. */
  readonly name: string;
  readonly dataCentre: string;
  /** Higher after each start of the process, and after peers took the router for dead while it was running. */
  readonly incarnation: number;
}

/** Called when a router joins or leaves the live members. A new incarnation alone is not reported. */
export type MembershipListener = (liveMembers: readonly Member[]) => void;

/**
 * The live membership as this router sees it. Two routers may see different members for some seconds, so work that
 * must happen at most once needs a lease as well.
 */
export abstract class Membership {
  abstract self(): Member;

  /** Live routers of this data centre, sorted by name. Includes this one, unless it is leaving and others remain. */
  abstract liveMembers(): readonly Member[];

  /** Whether this router is responsible for a key, such as an engine's id: rendezvous hashing over the live members. */
  abstract isHome(key: string): boolean;

  /**
   * The routers that act for the whole data centre, chosen by rendezvous hashing over the live members.
   *
   * @param key - Names the task, for example the other data centre that they connect to.
   * @param count - The number of routers to return; fewer if there are not that many.
   * @returns Names of routers, the first choice first.
   */
  abstract representatives(key: string, count: number): readonly string[];

  /** @returns A function that ends the subscription. */
  abstract subscribe(listener: MembershipListener): () => void;
}
