/** The program as deployments run it: one file, with the parts of packages that `deploy/bundle.mjs` names. */
import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { pathToFileURL } from "node:url";
import { describe, it } from "node:test";
import { expect } from "earl";
import { startStoreStandIn } from "../../standIns/platform/store.ts";
import { startProcess } from "../../standIns/startProcess.ts";

/** Enables everything that a deployment may enable, so that the start uses all parts of the packages. */
const settingsFor = (store: string) => ({
  name: "router-0",
  dataCentre: "here",
  callers: "127.0.0.1:0",
  readiness: "127.0.0.1:0",
  metricsPort: 0,
  peers: "127.0.0.1:0",
  store,
  guarantees: ["pressure"],
  replicaSpeeds: { minSpread: 1.6 },
  batchMemory: true,
  callerBufferBytes: 1_000_000,
  bounds: {
    keyRevocation: 5_000,
    drain: 3_000,
    lease: 3_000,
    weights: 10_000,
    shutdownGraceSeconds: 2,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    retryReserve: 50,
  },
});

describe("the bundled router", () => {
  it("starts with all features enabled: a part of a package that is missing in the bundle ends it", async () => {
    execFileSync(process.execPath, ["deploy/bundle.mjs"]);
    const directory = mkdtempSync(join(tmpdir(), "pomelocleat-bundle-"));
    try {
      await using store = await startStoreStandIn();
      const file = join(directory, "settings.json");
      writeFileSync(file, JSON.stringify(settingsFor(store.address)));
      await using router = await startProcess(pathToFileURL("target/router.mjs"), [], {
        environment: { POMELOCLEAT_BOOT: file },
      });
      expect(router.url.startsWith("http://127.0.0.1:")).toEqual(true);
    } finally {
      rmSync(directory, { recursive: true });
    }
  });
});
