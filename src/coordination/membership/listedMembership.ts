/** Membership taken from the VM list alone, without heartbeats. */
import type { ListedVm } from "../../protocol/types.ts";
import type { Member, MembershipListener } from "./Membership.ts";
import { Membership } from "./Membership.ts";
import { rendezvousFirst, rendezvousOrder } from "./rendezvous.ts";

const byName = (left: Member, right: Member): number => (left.name < right.name ? -1 : 1);

/** Every router of this data centre that the VM list shows as live, and always this one. */
export class ListedMembership extends Membership {
  private readonly selfMember: Member;
  private members: readonly Member[];
  private readonly listeners = new Set<MembershipListener>();

  constructor(self: Member) {
    super();
    this.selfMember = self;
    this.members = [self];
  }

  /** Replaces the members by those of a complete VM list. */
  applyVms(vms: readonly ListedVm[]): void {
    const others = vms
      .filter((vm) => vm.role === "router" && vm.state === "live")
      .filter((vm) => vm.dataCentre === this.selfMember.dataCentre && vm.id !== this.selfMember.name)
      .map((vm) => ({ name: vm.id, dataCentre: vm.dataCentre, incarnation: 0 }));
    const names = others.map((peer) => peer.name).join();
    const before = this.members.filter((peer) => peer !== this.selfMember).map((peer) => peer.name);
    this.members = [this.selfMember, ...others].sort(byName);
    if (names === before.join()) return;
    for (const listener of this.listeners) listener(this.members);
  }

  override self(): Member {
    return this.selfMember;
  }

  override liveMembers(): readonly Member[] {
    return this.members;
  }

  override isHome(key: string): boolean {
    return rendezvousFirst(key, this.names()) === this.selfMember.name;
  }

  override representatives(key: string, count: number): readonly string[] {
    return rendezvousOrder(key, this.names()).slice(0, count);
  }

  override subscribe(listener: MembershipListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private names(): readonly string[] {
    return this.members.map((peer) => peer.name);
  }
}
