/**
 * Chooses the version of the weights that serves a request during a roll-out.
 *
 * The configuration names one version of a model's weights and adapters. Until enough engines run it, the version of
 * an earlier configuration remains active beside it. Each request is bound to one of the two when it is admitted,
 * permanently, by a hash of its prompt, and in proportion to the engines that run each version. Therefore a prompt
 * prefix moves only once, and its caches are not built twice. Weights that no configuration has named never serve a
 * request.
 */
import type { ModelConfiguration } from "../protocol/configuration/schema.ts";
import { hash64 } from "../protocol/prefixLevels.ts";
import type { EngineLoad } from "../protocol/types.ts";
import type { EngineDirectory, EngineReplica } from "../state/engineDirectory.ts";
import type { ConfigurationIndex } from "./configurationIndex.ts";
import { minServingEngines } from "./orders/capacity.ts";

/** The weights that a request is bound to. */
export interface BoundWeights {
  readonly weightsVersion: string;
  /** `NAME@VERSION` of the adapter, if the request names one. */
  readonly adapter: string | undefined;
}

/** The properties of a request that determine its weights. */
export interface WeightsQuery {
  readonly index: ConfigurationIndex;
  readonly model: string;
  readonly adapter: string | undefined;
  /** Identifies the cacheable prefix of the prompt: equal for requests that share it. */
  readonly prefix: string;
}

/** @returns The weights that the request is bound to from its admission to its end. */
export type BindWeights = (query: WeightsQuery) => BoundWeights;

export interface WeightsBinderDependencies {
  readonly directory: EngineDirectory;
  /** Definitions of a model in earlier configurations, the most recent first. */
  readonly formerModels: (name: string) => readonly ModelConfiguration[];
}

const variantOf = (
  model: ModelConfiguration | undefined,
  adapter: string | undefined,
): BoundWeights | undefined => {
  if (model === undefined) return undefined;
  if (adapter === undefined) return { weightsVersion: model.weightsVersion, adapter: undefined };
  const found = model.adapters.find(({ name }) => name === adapter);
  return found && { weightsVersion: model.weightsVersion, adapter: `${adapter}@${found.version}` };
};

/** Whether an engine with this load report may serve a request that is bound to the weights. */
export const runsWeights = (load: EngineLoad, { weightsVersion, adapter }: BoundWeights): boolean =>
  load.weightsVersion === weightsVersion && (adapter === undefined || load.adapters.includes(adapter));

const countOf = (engines: readonly EngineReplica[], weights: BoundWeights): number =>
  engines.filter(({ state, load }) => state === "live" && load !== undefined && runsWeights(load, weights))
    .length;

/** @returns A hash of the text as a number from 0 to below 1, the same in every process. */
const fractionOf = (text: string): number => Number(hash64(text) >> 11n) / 2 ** 53;

const isSame = (left: BoundWeights, right: BoundWeights): boolean =>
  left.weightsVersion === right.weightsVersion && left.adapter === right.adapter;

/** Creates the function that binds requests to weights. */
export const createWeightsBinder = ({ directory, formerModels }: WeightsBinderDependencies): BindWeights => {
  const enginesOf = ({ index, model }: WeightsQuery): readonly EngineReplica[] =>
    (index.poolsByModel.get(model) ?? []).flatMap((pool) => directory.inPool(pool.name));

  /** Finds the most recent former version that live engines still run. */
  const findFormer = (query: WeightsQuery, engines: readonly EngineReplica[], desired: BoundWeights) =>
    formerModels(query.model)
      .map((model) => variantOf(model, query.adapter))
      .filter((variant) => variant !== undefined && !isSame(variant, desired))
      .map((weights) => ({ weights, count: weights === undefined ? 0 : countOf(engines, weights) }))
      .find(({ count }) => count > 0);

  return (query) => {
    const { index, model, adapter, prefix } = query;
    const desired = variantOf(index.models.get(model), adapter) ?? { weightsVersion: "", adapter };
    const engines = enginesOf(query);
    const ready = countOf(engines, desired);
    if (ready >= Math.max(1, minServingEngines(engines.length))) return desired;
    const former = findFormer(query, engines, desired);
    if (former?.weights === undefined) return desired;
    return fractionOf(prefix) < ready / (ready + former.count) ? desired : former.weights;
  };
};
