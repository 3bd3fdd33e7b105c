/** The router that gives a deployment's orders is stopped in the middle of a roll-out: real processes. */
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { operatorKey, startSystem } from "../../demo/processes.ts";
import type { System, SystemProcess } from "../../demo/processes.ts";
import type { Configuration } from "../../src/protocol/configuration/schema.ts";

const configurationFile = "examples/demo.json";
const newWeights = "2026-06";

interface Dump {
  readonly rollOuts: readonly {
    readonly deployment: string;
    readonly holding: boolean;
    readonly fencingNumber: number | null;
  }[];
}

interface Order {
  readonly kind: string;
  readonly fencingNumber: number;
  readonly outcome: string;
}

const readJson = async <T>(url: string, headers: Readonly<Record<string, string>> = {}): Promise<T> =>
  (await (await fetch(url, { headers })).json()) as T;

/** The fencing number under which a router gives Levant's orders, if it does. */
const numberOf = async ({ process }: SystemProcess): Promise<number | undefined> => {
  const headers = { authorization: `Bearer ${operatorKey}` };
  const { rollOuts } = await readJson<Dump>(`${process.url}/operator/dump`, headers);
  const levant = rollOuts.find(({ deployment }) => deployment === "levant");
  return levant?.holding === true ? (levant.fencingNumber ?? undefined) : undefined;
};

const findHolder = async (routers: readonly SystemProcess[]): Promise<SystemProcess | undefined> => {
  for (const router of routers) {
    if ((await numberOf(router)) !== undefined) return router;
  }
  return undefined;
};

const until = async <T>(look: () => Promise<T | undefined>): Promise<T> => {
  for (;;) {
    const found = await look();
    if (found !== undefined) return found;
    await sleep(50);
  }
};

const enginesOf = (system: System): readonly SystemProcess[] =>
  system.processes().filter(({ kind, name }) => kind === "engine" && name.startsWith("records-assistant"));

const loadsOf = (system: System) =>
  Promise.all(
    enginesOf(system).map(({ process }) =>
      readJson<{ readonly weightsVersion: string; readonly leaving: boolean }>(`${process.url}/load`),
    ),
  );

const ordersOf = async ({ process }: SystemProcess): Promise<readonly Order[]> => {
  const { orders } = await readJson<{ readonly orders: readonly Order[] }>(`${process.url}/stand-in/orders`);
  return orders;
};

const publishNewWeights = async (system: System): Promise<void> => {
  const configuration = JSON.parse(await readFile(configurationFile, "utf8")) as Configuration;
  const models = configuration.models.map((model) => ({ ...model, weightsVersion: newWeights }));
  const folder = await mkdtemp(join(tmpdir(), "pomelocleat-"));
  const file = join(folder, "next.json");
  await writeFile(file, JSON.stringify({ ...configuration, models }));
  const logService = ["--log-service", system.logService.url];
  const published = await system.runClient(["configuration", "publish", file, "--by", "test", ...logService]);
  await rm(folder, { recursive: true });
  expect(published.code).toEqual(0);
};

describe("the holder of a deployment's orders", { timeout: 120_000 }, () => {
  it("that is stopped in a roll-out is replaced, and orders nothing any more when it is resumed", async () => {
    await using system = await startSystem({
      configurationFile,
      routers: ["amman-north", "amman-north"],
      standIns: { weightStore: { loadMilliseconds: 1_000 } },
    });
    const stopped = await until(() => findHolder(system.routers()));
    const before = await until(() => numberOf(stopped));
    await publishNewWeights(system);
    await until(async () => ((await loadsOf(system)).some(({ leaving }) => leaving) ? true : undefined));
    stopped.process.kill("SIGSTOP");
    const others = system.routers().filter((router) => router !== stopped);
    const next = await until(() => findHolder(others));
    const after = await until(() => numberOf(next));
    expect(after > before).toEqual(true);
    stopped.process.kill("SIGCONT");
    await until(async () => {
      const loads = await loadsOf(system);
      const done = loads.every(({ weightsVersion, leaving }) => weightsVersion === newWeights && !leaving);
      return done ? true : undefined;
    });
    expect(await numberOf(stopped)).toEqual(undefined);
    for (const engine of enginesOf(system)) {
      const numbers = (await ordersOf(engine))
        .filter(({ outcome }) => outcome === "done")
        .map(({ fencingNumber }) => fencingNumber);
      expect([...numbers].sort((left, right) => left - right)).toEqual(numbers);
      expect(numbers.includes(after)).toEqual(true);
    }
  });
});
