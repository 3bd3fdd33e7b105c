import { expect } from "earl";
import { describe, it } from "node:test";
import type { EngineLoad, ListedVm } from "../protocol/types.ts";
import { createEngineDirectory } from "./engineDirectory.ts";

const vm = (state: ListedVm["state"] = "live"): ListedVm => ({
  id: "engine-0",
  dataCentre: "amman-north",
  url: "http://127.0.0.1:1",
  role: "engine",
  pool: "records-assistant",
  state,
});

const load = (incarnation: string, changes: Partial<EngineLoad> = {}): EngineLoad => ({
  incarnation,
  model: "records-assistant",
  weightsVersion: "1",
  adapters: [],
  role: "serving",
  running: 0,
  waiting: 0,
  pendingPromptTokens: 0,
  cachedTokens: 0,
  leaving: false,
  ...changes,
});

const create = () => {
  const directory = createEngineDirectory();
  const changes: string[] = [];
  directory.applyVms([vm()]);
  directory.subscribe((change) => changes.push(change.kind));
  const state = () => directory.get("engine-0")?.state;
  return { directory, changes, state };
};

describe("createEngineDirectory", () => {
  it("keeps an engine unconfirmed after a restored report until its own report", () => {
    const { directory, changes, state } = create();
    directory.restoreLoad("engine-0", load("first"), -500);
    expect(state()).toEqual("unconfirmed");
    directory.applyLoad("engine-0", load("first"), 10);
    expect([state(), ...changes]).toEqual(["live", "state"]);
  });

  it("reports a restart if the engine has another incarnation than the restored report", () => {
    const { directory, changes } = create();
    directory.restoreLoad("engine-0", load("first"), -500);
    directory.applyLoad("engine-0", load("second"), 10);
    expect(changes).toEqual(["restarted", "state"]);
  });

  it("does not confirm an engine by a report from before the start of the process", () => {
    const { directory, state } = create();
    directory.applyLoad("engine-0", load("first"), -1);
    expect(state()).toEqual("unconfirmed");
  });

  it("keeps an engine leaving while the VM list says so, whatever the engine reports", () => {
    const { directory, state } = create();
    directory.applyLoad("engine-0", load("first"), 10);
    directory.applyVms([vm("leaving")]);
    directory.applyLoad("engine-0", load("first"), 20);
    expect(state()).toEqual("leaving");
  });

  it("ignores a report that arrives out of order", () => {
    const { directory } = create();
    directory.applyLoad("engine-0", load("second", { running: 2 }), 20);
    directory.applyLoad("engine-0", load("first", { running: 1 }), 10);
    expect(directory.get("engine-0")?.load?.running).toEqual(2);
  });
});
