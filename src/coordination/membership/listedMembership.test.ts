import { expect } from "earl";
import { describe, it } from "node:test";
import type { ListedVm } from "../../protocol/types.ts";
import { ListedMembership } from "./listedMembership.ts";

const router = (id: string, dataCentre = "amman-north", state: ListedVm["state"] = "live"): ListedVm => ({
  id,
  dataCentre,
  url: "http://127.0.0.1:1",
  role: "router",
  pool: "",
  state,
});

const member = (name: string): ListedMembership =>
  new ListedMembership({ name, dataCentre: "amman-north", incarnation: 1 });

const keys = Array.from({ length: 200 }, (_, index) => `engine-${index}`);

describe("membership by the VM list", () => {
  const vms = [
    router("a"),
    router("b"),
    router("c"),
    router("d", "zarqa-hall"),
    router("e", "amman-north", "leaving"),
  ];

  it("gives each key to exactly one live router of the data centre", () => {
    const members = ["a", "b", "c"].map(member);
    for (const membership of members) membership.applyVms(vms);
    for (const key of keys) {
      expect(members.filter((membership) => membership.isHome(key)).length).toEqual(1);
    }
  });

  it("moves only the keys of a router that has left", () => {
    const before = member("a");
    before.applyVms(vms);
    const kept = keys.filter((key) => before.isHome(key));
    before.applyVms(vms.filter((vm) => vm.id !== "b"));
    expect(kept.every((key) => before.isHome(key))).toEqual(true);
    expect(keys.filter((key) => before.isHome(key)).length).toBeGreaterThan(kept.length);
  });

  it("notifies listeners only of changes", () => {
    const membership = member("a");
    const notifications: string[] = [];
    membership.subscribe((peers) => notifications.push(peers.map(({ name }) => name).join("")));
    membership.applyVms(vms);
    membership.applyVms(vms);
    membership.applyVms([]);
    expect(notifications).toEqual(["abc", "a"]);
  });
});
