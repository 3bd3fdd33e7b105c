/**
 * Runs a stand-in as a process: `main KIND [JSON-SETTINGS]`.
 *
 * Prints one line of JSON once it is ready, and exits on SIGTERM or SIGINT.
 */
import { createEngineStandIn } from "./engine/engine.ts";
import { processError } from "./errors.ts";
import { createLogServiceStandIn } from "./logService.ts";
import { createServiceStandIn } from "./service.ts";
import type { CommonFaults, StandIn } from "./types.ts";
import { createVmListStandIn } from "./vmList.ts";
import { createKeyValueStoreStandIn, createWeightStoreStandIn } from "./stores.ts";

type Factory = (settings: object) => Promise<StandIn<CommonFaults>>;

const factories = new Map<string, Factory>([
  ["engine", createEngineStandIn],
  ["service", createServiceStandIn],
  ["logService", createLogServiceStandIn],
  ["vmList", createVmListStandIn],
  ["weightStore", createWeightStoreStandIn],
  ["keyValueStore", createKeyValueStoreStandIn],
]);

const [kindName = "", settingsText = "{}"] = process.argv.slice(2);
const factory = factories.get(kindName);
if (factory === undefined) {
  throw processError(
    `Unknown kind of stand-in "${kindName}"; expected one of: ${[...factories.keys()].join(", ")}.`,
  );
}
const standIn = await factory(JSON.parse(settingsText) as object);
const { kind, name, url } = standIn;
const stop = (): void => {
  void standIn[Symbol.asyncDispose]().then(() => process.exit(0));
};
process.once("SIGTERM", stop);
process.once("SIGINT", stop);
process.stdout.write(`${JSON.stringify({ kind, name, url, processId: process.pid })}\n`);
