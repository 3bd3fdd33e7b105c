/** Describes a request to the scheduler. */
import { computePrefixLevels } from "../../protocol/prefixLevels.ts";
import type { Work } from "../scheduling/Scheduler.ts";
import type { BindWeights, BoundWeights } from "../weightsBinder.ts";
import type { CompletionJob } from "./types.ts";

/** Without a choice among versions: what the configuration names. */
const configuredWeights = ({ index, request }: CompletionJob): BoundWeights => ({
  weightsVersion: index.models.get(request.model)?.weightsVersion ?? "",
  adapter: undefined,
});

/** Binds a request to weights; requests that share all but their last level are bound alike. */
const bindRequest = (job: CompletionJob, bind: BindWeights): BoundWeights => {
  const { context, request, index } = job;
  const organisation = context.organisation.name;
  const segments = request.segments.length > 1 ? request.segments.slice(0, -1) : request.segments;
  const prefix = [organisation, request.model, ...segments].join("\u0000");
  return bind({ index, model: request.model, adapter: request.adapter, prefix });
};

/** @returns The work of a request of which nothing has been done; its levels are computed once. */
export const createWork = (job: CompletionJob, bind?: BindWeights): Work => {
  const { context, request, index } = job;
  const { weightsVersion, adapter } = bind === undefined ? configuredWeights(job) : bindRequest(job, bind);
  const scope = {
    organisation: context.organisation.name,
    model: request.model,
    adapter: adapter ?? request.adapter,
    weightsVersion,
  };
  const levels = computePrefixLevels(scope, request.segments);
  return {
    context,
    pools: (index.poolsByModel.get(request.model) ?? []).map((pool) => pool.name),
    weightsVersions: [weightsVersion],
    ...(adapter === undefined ? {} : { adapter }),
    levels,
    promptTokens: levels.at(-1)?.tokens ?? 0,
    maximumTokens: request.maximumTokens,
    excluded: new Set(),
  };
};
