/** The router that issues a deployment's orders is stopped (SIGSTOP) during a roll-out, with real processes. */
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

/** @returns The fencing number of a router that holds the lease of Levant's orders; otherwise `undefined`. */
const fetchFencingNumber = async ({ process }: SystemProcess): Promise<number | undefined> => {
  const headers = { authorization: `Bearer ${operatorKey}` };
  const { rollOuts } = await readJson<Dump>(`${process.url}/operator/dump`, headers);
  const levant = rollOuts.find(({ deployment }) => deployment === "levant");
  return levant?.holding === true ? (levant.fencingNumber ?? undefined) : undefined;
};

const findOrderHolder = async (routers: readonly SystemProcess[]): Promise<SystemProcess | undefined> => {
  for (const router of routers) {
    if ((await fetchFencingNumber(router)) !== undefined) return router;
  }
  return undefined;
};

const waitFor = async <T>(poll: () => Promise<T | undefined>): Promise<T> => {
  for (;;) {
    const found = await poll();
    if (found !== undefined) return found;
    await sleep(50);
  }
};

const enginesOf = (system: System): readonly SystemProcess[] =>
  system.processes().filter(({ kind, name }) => kind === "engine" && name.startsWith("records-assistant"));

const fetchLoads = (system: System) =>
  Promise.all(
    enginesOf(system).map(({ process }) =>
      readJson<{ readonly weightsVersion: string; readonly leaving: boolean }>(`${process.url}/load`),
    ),
  );

const fetchOrders = async ({ process }: SystemProcess): Promise<readonly Order[]> => {
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
  it("is replaced when it is stopped during a roll-out, and issues no order after it is resumed", async () => {
    await using system = await startSystem({
      configurationFile,
      routers: ["amman-north", "amman-north"],
      standIns: { weightStore: { loadMilliseconds: 1_000 } },
    });
    const stopped = await waitFor(() => findOrderHolder(system.routers()));
    const before = await waitFor(() => fetchFencingNumber(stopped));
    await publishNewWeights(system);
    await waitFor(async () => ((await fetchLoads(system)).some(({ leaving }) => leaving) ? true : undefined));
    stopped.process.kill("SIGSTOP");
    const others = system.routers().filter((router) => router !== stopped);
    const next = await waitFor(() => findOrderHolder(others));
    const after = await waitFor(() => fetchFencingNumber(next));
    expect(after > before).toEqual(true);
    stopped.process.kill("SIGCONT");
    await waitFor(async () => {
      const loads = await fetchLoads(system);
      const done = loads.every(({ weightsVersion, leaving }) => weightsVersion === newWeights && !leaving);
      return done ? true : undefined;
    });
    expect(await fetchFencingNumber(stopped)).toEqual(undefined);
    for (const engine of enginesOf(system)) {
      const numbers = (await fetchOrders(engine))
        .filter(({ outcome }) => outcome === "done")
        .map(({ fencingNumber }) => fencingNumber);
      expect([...numbers].sort((left, right) => left - right)).toEqual(numbers);
      expect(numbers.includes(after)).toEqual(true);
    }
  });
});
