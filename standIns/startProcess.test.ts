import { expect } from "earl";
import { describe, it } from "node:test";
import { startStandInProcess } from "./startProcess.ts";

describe("startStandInProcess", () => {
  it("starts a stand-in that answers requests until it is killed", async () => {
    await using store = await startStandInProcess("keyValueStore", { name: "memoria" });
    expect(store.name).toEqual("memoria");
    const put = await fetch(`${store.url}/caches/a`, { method: "PUT", body: '{"blocks":[]}' });
    expect(put.status).toEqual(200);
    store.kill("SIGKILL");
    expect(await store.ended).toEqual({ code: null, signal: "SIGKILL" });
    await expect(fetch(store.url)).toBeRejected();
  });

  it("rejects if the program ends before it is ready", async () => {
    await expect(startStandInProcess("keyValueStore", { host: "10.0.0.1" })).toBeRejected();
  });
});
