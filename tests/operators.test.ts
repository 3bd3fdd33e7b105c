/** The operators' command-line client against real routers: both must agree on the operator interface. */
import { PassThrough } from "node:stream";
import { json } from "node:stream/consumers";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { createCli } from "../src/commandLine/cli.ts";
import { exitCodes } from "../src/commandLine/exitCodes.ts";
import { operatorKey, startLocalSystem } from "./support/localSystem.ts";
import type { LocalSystem } from "./support/localSystem.ts";

const maxPolls = 200;
const pollInterval = 20;

const runClient = async (system: LocalSystem, ...words: readonly string[]) => {
  const stdout = new PassThrough();
  const env = {
    POMELOCLEAT_LOG_SERVICE: system.logService.url,
    POMELOCLEAT_VM_LIST: system.vmList.url,
    POMELOCLEAT_OPERATOR_KEY: operatorKey,
  };
  const exitCode = await createCli(false).run([...words, "--json"], { stdout, env });
  stdout.end();
  return { exitCode, value: await json(stdout) };
};

/** Polls until all routers have the same configuration version, and returns it for each; `undefined` if they never do. */
const pollVersions = async (system: LocalSystem): Promise<readonly number[] | undefined> => {
  for (let poll = 0; poll < maxPolls; poll += 1) {
    const { exitCode, value } = await runClient(system, "versions");
    const { routers } = value as { readonly routers: readonly { readonly version: number }[] };
    if (exitCode === exitCodes.success) return routers.map(({ version }) => version);
    await sleep(pollInterval);
  }
  return undefined;
};

describe("the operators' client with real routers", () => {
  it("sees a published configuration take effect on every router", async () => {
    await using system = await startLocalSystem({ routers: 2, engines: 1 });
    const published = await runClient(system, "configuration", "publish", "examples/levant.json");
    expect(published.exitCode).toEqual(exitCodes.success);
    const seen = await pollVersions(system);
    expect(seen).toEqual([1, 1]);
  });

  it("reads a router's engines and its dump", async () => {
    await using system = await startLocalSystem({ engines: 2, services: 0 });
    const { exitCode, value } = await runClient(system, "engines");
    const { engines } = value as {
      readonly engines: readonly { readonly id: string; readonly model: string }[];
    };
    expect(exitCode).toEqual(exitCodes.success);
    expect(engines.map(({ id, model }) => `${id} ${model}`)).toEqual([
      "records-assistant-0 records-assistant",
      "records-assistant-1 records-assistant",
    ]);
    const dump = await runClient(system, "dump", "router-0");
    expect(dump.value as object).toHaveSubset({ router: "router-0", configurationVersion: 0, ready: true });
  });
});
