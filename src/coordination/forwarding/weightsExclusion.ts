/** Keeps requests from replicas whose weights are not known, and waits for them where there is no other replica. */
import { deniesKnownWeights } from "../../state/forwarding/replicaWeights.ts";
import type { Clock } from "../clock.ts";
import type { Availability } from "../replicaReports/availability.ts";
import { withTimeLimit } from "../timeLimit.ts";
import type { ForwardRun } from "./forwardRun.ts";
import type { WeightsChecks } from "./weightsChecks.ts";

export interface WeightsExclusionDependencies {
  readonly availability: Pick<Availability, "available">;
  readonly weightsChecks: Pick<WeightsChecks, "isChecking" | "nextResult">;
  readonly clock: Clock;
}

export interface WeightsExclusion {
  /** @returns Ids of the replicas that the request must not be sent to now. */
  readonly excludedFor: (run: ForwardRun) => ReadonlySet<string>;
  /**
   * Whether another replica may run the expected weights, or the weights of one are being checked: the request may then
   * be sent there with the weights that it runs.
   */
  readonly hasCandidate: (run: ForwardRun) => boolean;
  /**
   * Creates a function that waits until the weights of a replica are known. A request waits at most for its latency
   * objective in all.
   *
   * @returns Resolves with false if there is nothing to wait for.
   */
  readonly createWait: (run: ForwardRun) => () => Promise<boolean>;
}

/** Creates the exclusion for the replicas that are available. */
export const createWeightsExclusion = ({
  availability,
  weightsChecks,
  clock,
}: WeightsExclusionDependencies): WeightsExclusion => ({
  excludedFor: ({ request, admission, excluded }) => {
    const model = request.prompt?.model;
    // Only replicas that are being checked deny their known weights.
    if (model === undefined || !weightsChecks.isChecking(admission.service.name)) return excluded;
    const denying = availability
      .available(admission.service.name)
      .filter((replica) => deniesKnownWeights(replica, model));
    return denying.length === 0 ? excluded : new Set([...excluded, ...denying.map(({ entry }) => entry.id)]);
  },
  hasCandidate: ({ request, admission, excluded }) => {
    const { name } = admission.service;
    if (weightsChecks.isChecking(name)) return true;
    const model = request.prompt?.model ?? "";
    return availability
      .available(name)
      .some((replica) => !excluded.has(replica.entry.id) && !deniesKnownWeights(replica, model));
  },
  createWait: ({ admission, deadline, stopper }) => {
    const until = Math.min(deadline, clock.monotonic() + admission.route.latencyObjective);
    return async () => {
      const left = until - clock.monotonic();
      if (left <= 0 || !weightsChecks.isChecking(admission.service.name)) return false;
      await withTimeLimit(clock, stopper.signal, left, weightsChecks.nextResult);
      return stopper.reason() === undefined;
    };
  },
});
