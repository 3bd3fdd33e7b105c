/** Lookup tables by name for one version of the configuration, built once for each version. */
import type {
  ClassConfiguration,
  Configuration,
  EnginePoolConfiguration,
  ModelConfiguration,
  OrganisationConfiguration,
  ServiceConfiguration,
} from "../protocol/configuration/schema.ts";

/** One version of the configuration with its lookup tables. */
export interface ConfigurationIndex {
  /** Log offset of the configuration. */
  readonly version: number;
  readonly configuration: Configuration;
  readonly organisationByKeyHash: ReadonlyMap<string, OrganisationConfiguration>;
  readonly organisations: ReadonlyMap<string, OrganisationConfiguration>;
  readonly classes: ReadonlyMap<string, ClassConfiguration>;
  readonly models: ReadonlyMap<string, ModelConfiguration>;
  readonly services: ReadonlyMap<string, ServiceConfiguration>;
  /** Engine pools that serve a model, by the name of the model. */
  readonly poolsByModel: ReadonlyMap<string, readonly EnginePoolConfiguration[]>;
  readonly pools: ReadonlyMap<string, EnginePoolConfiguration>;
}

const byName = <T extends { readonly name: string }>(items: readonly T[]): ReadonlyMap<string, T> =>
  new Map(items.map((item) => [item.name, item]));

/**
 * Builds the lookup tables.
 *
 * @param version - Log offset of the configuration.
 */
export const createConfigurationIndex = (
  version: number,
  configuration: Configuration,
): ConfigurationIndex => ({
  version,
  configuration,
  organisationByKeyHash: new Map(
    configuration.organisations.flatMap((organisation) =>
      organisation.keyHashes.map((hash) => [hash, organisation] as const),
    ),
  ),
  organisations: byName(configuration.organisations),
  classes: byName(configuration.classes),
  models: byName(configuration.models),
  services: byName(configuration.services),
  poolsByModel: new Map(
    configuration.models.map((model) => [
      model.name,
      configuration.enginePools.filter((pool) => pool.model === model.name),
    ]),
  ),
  pools: byName(configuration.enginePools),
});
