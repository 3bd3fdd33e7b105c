import { expect } from "earl";
import { describe, it } from "node:test";
import type { ListedVm } from "../src/protocol/types.ts";
import { createVmListStandIn, type VmListStandIn } from "./vmList.ts";

const vm: ListedVm = {
  id: "vm-1",
  dataCentre: "zarqa-hall",
  url: "http://127.0.0.1:9",
  role: "engine",
  pool: "records-assistant",
  state: "live",
};

const readStates = async (list: VmListStandIn): Promise<readonly string[]> => {
  const answer = await fetch(`${list.url}/vms`);
  const { vms } = (await answer.json()) as { readonly vms: readonly ListedVm[] };
  return vms.map(({ state }) => state);
};

const changeOne = (list: VmListStandIn): Promise<Response> =>
  fetch(`${list.url}/stand-in/vms/vm-1`, { method: "POST", body: '{"state":"leaving"}' });

describe("VM list stand-in", () => {
  it("shows a change at once if no lag is set", async () => {
    await using list = await createVmListStandIn({ vms: [vm] });
    await changeOne(list);
    expect(await readStates(list)).toEqual(["leaving"]);
    await fetch(`${list.url}/stand-in/vms/vm-1`, { method: "DELETE" });
    expect(await readStates(list)).toEqual([]);
  });

  it("shows the list with the configured lag", async () => {
    await using list = await createVmListStandIn({ vms: [vm], lagMilliseconds: 50_000 });
    await changeOne(list);
    expect(await readStates(list)).toEqual(["live"]);
  });
});
