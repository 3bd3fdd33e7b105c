/** Which routers of this data centre are alive, and what falls to which of them. */

/** A router of the system. */
export interface Member {
  /** The VM's id in the platform's VM list. */
  readonly name: string;
  readonly dataCentre: string;
  /** Rises with each start of the process, and when it refutes its own death. */
  readonly incarnation: number;
}

/** Called whenever the list of live peers is another one. */
export type MembershipListener = (livePeers: readonly Member[]) => void;

/**
 * The live membership as this router sees it. Two routers may see it differently for some seconds, so nothing
 * that must happen at most once may rest on it alone: that takes a lease.
 */
export abstract class Membership {
  abstract self(): Member;

  /** Routers of this data centre that take part, this one among them, sorted by name. */
  abstract liveMembers(): readonly Member[];

  /** Whether a key (an engine's id, say) falls to this router, by rendezvous over the live peers. */
  abstract isHome(key: string): boolean;

  /**
   * The routers that speak for this data centre in a matter, the first choice first.
   *
   * @param matter - For example a data centre's name.
   * @param count - How many are wanted.
   */
  abstract representatives(matter: string, count: number): readonly string[];

  /** @returns A function that ends the subscription. */
  abstract subscribe(listener: MembershipListener): () => void;
}
