/** The routers of a run: those that run from the beginning, those that start or stop later, and their partitions. */
import type { RouterEntry } from "../../src/protocol/forwarding/types.ts";
import type { MemoryNetwork } from "../../tests/support/MemoryNetwork.ts";
import type { Random } from "../model/random.ts";
import { createRandom } from "../model/random.ts";
import type { Experiment } from "./experiment.ts";
import type { LabRouter, LabRouterDependencies } from "./labRouter.ts";
import { createLabRouter } from "./labRouter.ts";

/** Running routers. */
export interface RouterGroup {
  readonly running: () => readonly LabRouter[];
  /** @param dataCentre - Index of the data centre whose routers are preferred; `undefined` for any. */
  readonly pick: (dataCentre: number | undefined, random: Random) => LabRouter;
  /** Starts the routers that have not started yet, at most `count`. */
  readonly start: (count: number) => void;
  /** Stops the first routers: they send and receive nothing more, and their callers lose their connections. */
  readonly stop: (count: number) => void;
  /** Cuts a data centre's routers off from the others, or `undefined` to end the partition. */
  readonly isolate: (dataCentre: number | undefined) => void;
}

const firstPort = 7_000;

const nameOfDataCentre = (index: number): string => `centre-${index}`;

const routerEntriesOf = ({ routers, dataCentres }: Experiment): readonly RouterEntry[] =>
  Array.from({ length: routers }, (_, index) => ({
    name: `router-${index}`,
    incarnation: `process-${index}`,
    dataCentre: nameOfDataCentre(index % dataCentres),
    address: "10.0.0.1",
    port: firstPort + index,
  }));

/** Creates the routers of an experiment and starts those that no fault starts later. */
export const createRouterGroup = (
  dependencies: Omit<LabRouterDependencies, "self" | "allRouters" | "link" | "random">,
  network: MemoryNetwork,
  seed: number,
): RouterGroup => {
  const { experiment } = dependencies;
  const entries = routerEntriesOf(experiment);
  const startingLater = experiment.faults.reduce(
    (count, fault) => (fault.kind === "routersStart" ? count + fault.routers : count),
    0,
  );
  let waiting = entries;
  let running: readonly LabRouter[] = [];

  const start: RouterGroup["start"] = (count) => {
    const starting = waiting.slice(0, count);
    waiting = waiting.slice(count);
    for (const { addPeers } of running) addPeers(starting);
    const allRouters = [...running.map(({ self }) => self), ...starting];
    const started = starting.map((self) => {
      const { uniform: random } = createRandom(seed, self.name);
      return createLabRouter({ ...dependencies, self, allRouters, link: network.open(self.port), random });
    });
    running = [...running, ...started];
  };
  start(entries.length - startingLater);

  return {
    running: () => running,
    start,
    pick: (dataCentre, random) => {
      const near =
        dataCentre === undefined
          ? running
          : running.filter(({ self }) => self.dataCentre === nameOfDataCentre(dataCentre));
      const available = near.length > 0 ? near : running;
      const router = available[random.index(available.length)];
      if (router === undefined) throw new RangeError("no router runs");
      return router;
    },
    stop: (count) => {
      const stopped = running.slice(0, count);
      running = running.slice(count);
      for (const { self, connections } of stopped) {
        network.freeze(self.port);
        for (const close of connections) close();
      }
    },
    isolate: (dataCentre) => {
      const isolated = entries.filter(
        (entry) => dataCentre !== undefined && entry.dataCentre === nameOfDataCentre(dataCentre),
      );
      network.isolatedPorts = new Set(isolated.map(({ port }) => port));
    },
  };
};
