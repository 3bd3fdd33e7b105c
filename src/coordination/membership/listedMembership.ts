/** Membership as the VM list alone tells it; for tests, and until peers have been heard. */
import type { ListedVm } from "../../protocol/types.ts";
import type { Member, MembershipListener } from "./Membership.ts";
import { Membership } from "./Membership.ts";
import { rendezvousFirst, rendezvousOrder } from "./rendezvous.ts";

const byName = (left: Member, right: Member): number => (left.name < right.name ? -1 : 1);

/** Counts every live router of the list. */
export class ListedMembership extends Membership {
  private readonly me: Member;
  private peers: readonly Member[];
  private readonly listeners = new Set<MembershipListener>();

  constructor(self: Member) {
    super();
    this.me = self;
    this.peers = [self];
  }

  /** Takes a whole VM list. */
  applyVms(vms: readonly ListedVm[]): void {
    const others = vms
      .filter((vm) => vm.role === "router" && vm.state === "live")
      .filter((vm) => vm.dataCentre === this.me.dataCentre && vm.id !== this.me.name)
      .map((vm) => ({ name: vm.id, dataCentre: vm.dataCentre, incarnation: 0 }));
    const names = others.map((peer) => peer.name).join();
    const before = this.peers.filter((peer) => peer !== this.me).map((peer) => peer.name);
    this.peers = [this.me, ...others].sort(byName);
    if (names === before.join()) return;
    for (const listener of this.listeners) listener(this.peers);
  }

  override self(): Member {
    return this.me;
  }

  override liveMembers(): readonly Member[] {
    return this.peers;
  }

  override isHome(key: string): boolean {
    return rendezvousFirst(key, this.names()) === this.me.name;
  }

  override representatives(matter: string, count: number): readonly string[] {
    return rendezvousOrder(matter, this.names()).slice(0, count);
  }

  override subscribe(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private names(): readonly string[] {
    return this.peers.map((peer) => peer.name);
  }
}
