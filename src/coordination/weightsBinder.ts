/**
 * Which weights answer a request while engines are brought over.
 *
 * The configuration names one version of a model's weights and adapters. Until enough engines run it, the
 * version that an earlier configuration named is in force beside it, and each request is bound to one of the
 * two when it is admitted: for good, by its prompt, and in proportion to the engines that run each. So a
 * prefix moves once, and its caches are not built twice. Weights that no configuration has named never
 * answer.
 */
import type { ModelConfiguration } from "../protocol/configuration/schema.ts";
import { hash64 } from "../protocol/prefixLevels.ts";
import type { EngineLoad } from "../protocol/types.ts";
import type { EngineDirectory, EngineReplica } from "../state/engineDirectory.ts";
import type { ConfigurationIndex } from "./configurationIndex.ts";
import { minServingEngines } from "./orders/capacity.ts";

/** What a request is bound to. */
export interface BoundWeights {
  readonly weightsVersion: string;
  /** `NAME@VERSION` of the adapter, if the request names one. */
  readonly adapter: string | undefined;
}

/** What a request asks for. */
export interface WeightsQuery {
  readonly index: ConfigurationIndex;
  readonly model: string;
  readonly adapter: string | undefined;
  /** The same for requests whose prompts share what can be cached. */
  readonly prefix: string;
}

/** @returns What the request is bound to from now on. */
export type BindWeights = (question: WeightsQuery) => BoundWeights;

/** What the choice is made from. */
export interface WeightsBinderDependencies {
  readonly directory: EngineDirectory;
  /** What earlier configurations named for a model, the last first. */
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

/** True if an engine that reports this may answer what is bound to that. */
export const runsWeights = (load: EngineLoad, { weightsVersion, adapter }: BoundWeights): boolean =>
  load.weightsVersion === weightsVersion && (adapter === undefined || load.adapters.includes(adapter));

const countOf = (engines: readonly EngineReplica[], bound: BoundWeights): number =>
  engines.filter(({ state, load }) => state === "live" && load !== undefined && runsWeights(load, bound))
    .length;

/** A number from 0 up to but not including 1, the same in every process. */
const fractionOf = (text: string): number => Number(hash64(text) >> 11n) / 2 ** 53;

const isSame = (left: BoundWeights, right: BoundWeights): boolean =>
  left.weightsVersion === right.weightsVersion && left.adapter === right.adapter;

/** Makes the choice for one router. */
export const createWeightsBinder = ({ directory, formerModels }: WeightsBinderDependencies): BindWeights => {
  const enginesOf = ({ index, model }: WeightsQuery): readonly EngineReplica[] =>
    (index.poolsByModel.get(model) ?? []).flatMap((pool) => directory.inPool(pool.name));

  /** The last former version that engines still run. */
  const findFormer = (question: WeightsQuery, engines: readonly EngineReplica[], desired: BoundWeights) =>
    formerModels(question.model)
      .map((model) => variantOf(model, question.adapter))
      .filter((variant) => variant !== undefined && !isSame(variant, desired))
      .map((bound) => ({ bound, count: bound === undefined ? 0 : countOf(engines, bound) }))
      .find(({ count }) => count > 0);

  return (question) => {
    const { index, model, adapter, prefix } = question;
    const desired = variantOf(index.models.get(model), adapter) ?? { weightsVersion: "", adapter };
    const engines = enginesOf(question);
    const ready = countOf(engines, desired);
    if (ready >= Math.max(1, minServingEngines(engines.length))) return desired;
    const former = findFormer(question, engines, desired);
    if (former?.bound === undefined) return desired;
    return fractionOf(prefix) < ready / (ready + former.count) ? desired : former.bound;
  };
};
