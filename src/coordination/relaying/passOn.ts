/** Decides for each request whether another router has to serve it, because this one has no path to its service. */
import type { RequestError } from "../../protocol/errors.ts";
import type { CallerRequest } from "../../protocol/forwarding/types.ts";
import type { Clock } from "../clock.ts";
import { failures } from "../forwarding/failures.ts";
import type { StartedAnswer } from "../forwarding/forwardAttempt.ts";
import type { ForwardRun } from "../forwarding/forwardRun.ts";
import { toleratedSilence } from "../replicaPaths/constants.ts";
import type { ReplicaPaths } from "../replicaPaths/replicaPaths.ts";
import type { Relay, RelayOptions } from "./relay.ts";

export interface PassOnDependencies {
  readonly paths: Pick<ReplicaPaths, "lostFor" | "whenChecked">;
  readonly relay: Relay;
  /** @returns Whether a request may be sent at this moment. */
  readonly maySend: (request: CallerRequest, before: number) => boolean;
  readonly clock: Clock;
}

export interface PassOn {
  /** Whether this router has a path to the service of a request. */
  readonly hasPath: (run: ForwardRun) => boolean;
  /** @returns Resolves when a check of the paths to the service of a request has ended, at once if there is none. */
  readonly whenChecked: (run: ForwardRun) => Promise<void>;
  /**
   * Has another router serve a request.
   *
   * @param timeout - As in {@link RelayOptions}.
   * @returns The answer; `undefined` if no other router takes it on, and the replicas may only be silent for a moment.
   * @throws `RequestError` if it can't be served or was refused, `UpstreamError` where the answer was lost.
   */
  readonly passOn: (
    run: ForwardRun,
    options: Omit<RelayOptions, "maySend">,
  ) => Promise<StartedAnswer | undefined>;
}

/** Creates the decision. */
export const createPassOn = ({ paths, relay, maySend, clock }: PassOnDependencies): PassOn => {
  /** An earlier attempt may have run a request that may be repeated, or have been refused. */
  const refusal = (run: ForwardRun): RequestError => {
    if (run.mayHaveRun()) return failures.outcomeUnknown(undefined);
    const left = run.deadline - clock.monotonic();
    return run.sends() > 0 ? failures.refusedByReplicas(left, undefined) : failures.noPath(left);
  };
  const serviceOf = ({ admission }: ForwardRun): string => admission.service.name;
  return {
    hasPath: (run) => paths.lostFor(serviceOf(run)) === undefined,
    whenChecked: (run) => paths.whenChecked(serviceOf(run)),
    passOn: async (run, options) => {
      const { request, deadline } = run;
      if (request.relayed !== undefined) throw refusal(run);
      const answer = await relay.send(run, { ...options, maySend: () => maySend(request, deadline) });
      if (answer !== undefined) return answer;
      const lostFor = paths.lostFor(serviceOf(run)) ?? 0;
      if (lostFor > toleratedSilence) throw refusal(run);
      return undefined;
    },
  };
};
