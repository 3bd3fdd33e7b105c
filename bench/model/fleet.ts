/** All engines of a deployment, which data centres reach one another, and the truth about what is cached. */
import type { Clock } from "../../src/coordination/clock.ts";
import type { ListedVm, PrefixLevel } from "../../src/protocol/types.ts";
import { createEngineModel } from "./engineModel.ts";
import type { EngineModel } from "./engineModel.ts";
import type { Mix } from "./mixes.ts";

/** The engines of a run. */
export interface Fleet {
  readonly engines: readonly EngineModel[];
  readonly get: (id: string) => EngineModel | undefined;
  readonly vms: readonly ListedVm[];
  /** Tokens of the prompt's deepest level that any live engine holds. */
  readonly cachedAnywhereTokens: (levels: readonly PrefixLevel[]) => number;
  readonly canReach: (from: string, to: string) => boolean;
  /** Cuts a data centre off from all others, or heals the network. */
  readonly cutOff: (dataCentre: string | undefined) => void;
}

const listEngine = ({ id, dataCentre }: EngineModel, pool: string): ListedVm => ({
  id,
  dataCentre,
  url: `http://127.0.0.1/${id}`,
  role: "engine",
  pool,
  state: "live",
});

const createEngines = (
  { configuration, engine }: Mix,
  clock: Clock,
): readonly (readonly [string, EngineModel])[] =>
  configuration.enginePools.flatMap((pool) => {
    const weightsVersion = configuration.models.find(({ name }) => name === pool.model)?.weightsVersion ?? "";
    return Array.from({ length: pool.replicas }, (_, index) => {
      const dataCentre = pool.dataCentres[index % pool.dataCentres.length] ?? "";
      const identity = { id: `${pool.name}-${index}`, dataCentre, model: pool.model, weightsVersion };
      return [pool.name, createEngineModel(identity, engine, clock)] as const;
    });
  });

/** Makes the engines that a mix's configuration asks for, spread over its data centres. */
export const createFleet = (mix: Mix, clock: Clock): Fleet => {
  const created = createEngines(mix, clock);
  const engines = created.map(([, engine]) => engine);
  const byId = new Map(engines.map((engine) => [engine.id, engine]));
  let alone: string | undefined;

  return {
    engines,
    get: (id) => byId.get(id),
    vms: created.map(([pool, engine]) => listEngine(engine, pool)),
    cachedAnywhereTokens: (levels) =>
      engines.reduce((most, engine) => Math.max(most, engine.isUp() ? engine.cachedTokens(levels) : 0), 0),
    canReach: (from, to) => from === to || (from !== alone && to !== alone),
    cutOff: (dataCentre) => {
      alone = dataCentre;
    },
  };
};
