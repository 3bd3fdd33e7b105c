/** What earlier versions of the configuration named for each model: engines run it until they are brought over. */
import type { Configuration, ModelConfiguration } from "../protocol/configuration/schema.ts";

/** Former weights remembered of each model. */
const maximumFormer = 4;

/** See {@link createFormerModels}. */
export interface FormerModels {
  /** Compares a version with the next one. */
  readonly note: (before: Configuration | undefined, after: Configuration) => void;
  /** @returns What was named for a model before, the last first. */
  readonly of: (name: string) => readonly ModelConfiguration[];
}

const weightsOf = ({ weightsVersion, adapters }: ModelConfiguration): string =>
  JSON.stringify([weightsVersion, adapters]);

/** Creates a memory that knows of no earlier version. */
export const createFormerModels = (): FormerModels => {
  const formers = new Map<string, readonly ModelConfiguration[]>();

  const noteModel = (before: ModelConfiguration, after: ModelConfiguration | undefined): void => {
    if (after !== undefined && weightsOf(before) === weightsOf(after)) return;
    const others = (formers.get(before.name) ?? []).filter(
      (former) => weightsOf(former) !== weightsOf(before),
    );
    formers.set(before.name, [before, ...others].slice(0, maximumFormer));
  };

  return {
    note: (before, after) => {
      const models = new Map(after.models.map((model) => [model.name, model]));
      for (const model of before?.models ?? []) noteModel(model, models.get(model.name));
    },
    of: (name) => formers.get(name) ?? [],
  };
};
