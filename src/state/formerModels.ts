/**
 * Keeps the entries that earlier versions of the configuration had for each model. Engines run the weights of those
 * entries until they are switched to the current ones.
 */
import type { Configuration, ModelConfiguration } from "../protocol/configuration/schema.ts";

/** Earlier entries that are kept of each model. */
const maximumFormerModels = 4;

/** Earlier entries of models, by the model's name. */
export interface FormerModels {
  /** Records the models whose weights or adapters changed from one version to the next, or that were removed. */
  readonly note: (before: Configuration | undefined, after: Configuration) => void;
  /** @returns A model's earlier entries, the latest first. */
  readonly of: (name: string) => readonly ModelConfiguration[];
}

const weightsOf = ({ weightsVersion, adapters }: ModelConfiguration): string =>
  JSON.stringify([weightsVersion, adapters]);

export const createFormerModels = (): FormerModels => {
  const formerByName = new Map<string, readonly ModelConfiguration[]>();

  const noteModel = (before: ModelConfiguration, after: ModelConfiguration | undefined): void => {
    if (after !== undefined && weightsOf(before) === weightsOf(after)) return;
    const remaining = (formerByName.get(before.name) ?? []).filter(
      (former) => weightsOf(former) !== weightsOf(before),
    );
    formerByName.set(before.name, [before, ...remaining].slice(0, maximumFormerModels));
  };

  return {
    note: (before, after) => {
      const models = new Map(after.models.map((model) => [model.name, model]));
      for (const model of before?.models ?? []) noteModel(model, models.get(model.name));
    },
    of: (name) => formerByName.get(name) ?? [],
  };
};
