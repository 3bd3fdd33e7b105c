/** State of one forwarded request: its deadline, the attempts made so far, and which further ones are allowed. */
import type { UpstreamError } from "../../protocol/errors.ts";
import type { CallerRequest } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import type { Stopper } from "../requests/stopper.ts";
import { createStopper } from "../requests/stopper.ts";
import { maxArrivalsAtReplica, maxUnsentAttempts, maxWeightsRefusals } from "./constants.ts";
import type { PlacementChoice } from "../placement/placementTypes.ts";
import type { SizeFifth } from "../admission/promptSizes.ts";
import type { Admission } from "./types.ts";
import { isRepeatable } from "./isRepeatable.ts";

/** Result of querying the owners of replicas for their state, for the log. */
export interface OwnerQueryStats {
  /** Number of replicas queried. */
  readonly asked: number;
  /** Number of those for which an answer came in time. */
  readonly known: number;
  readonly milliseconds: number;
}

/** A request that is being served. */
export interface ForwardRun {
  readonly request: CallerRequest;
  readonly admission: Admission;
  /** The prompt's rank by size among those of its route; `undefined` without a prompt or if unknown. */
  readonly sizeFifth: SizeFifth | undefined;
  /** Cancels the request when the caller has gone away or the deadline has passed. */
  readonly stopper: Stopper;
  /** When the caller must have its final response, milliseconds on the monotonic clock. */
  readonly deadline: number;
  /** Ids of the replicas that the request was sent to. */
  readonly sentTo: ReadonlySet<string>;
  /** Ids of the replicas that it must not be sent to again. */
  readonly excluded: ReadonlySet<string>;
  /** Whether a replica may have run it, although the attempt failed. */
  readonly mayHaveRun: () => boolean;
  /** @returns How many times it has run, may have run or is running. */
  readonly executions: () => number;
  /** @returns How often this router has sent it to a replica where it may have arrived, refusals included. */
  readonly sends: () => number;
  /** @returns The last choice of a replica, with the weights that it was expected to run. */
  readonly lastChoice: () => PlacementChoice | undefined;
  /**
   * Records that the request is about to be sent.
   *
   * @param registryAge - Milliseconds since the time up to which all records of the registry are known.
   */
  readonly noteChoice: (choice: PlacementChoice, registryAge: number) => void;
  /** @returns The age of the registry at the last choice, milliseconds; `undefined` before the first one. */
  readonly registryAge: () => number | undefined;
  readonly noteFailure: (choice: PlacementChoice, failure: UpstreamError) => void;
  /** Records the replicas that another router has sent the request to. */
  readonly noteSentTo: (ids: readonly string[]) => void;
  /** Records that the answer of another router was lost: it may have run at replicas that nobody names any more. */
  readonly noteRelayLost: (failure: UpstreamError) => void;
  /** Records a wait for a prompt part. */
  readonly noteWait: (milliseconds: number) => void;
  /** @returns Milliseconds that it has waited for prompt parts. */
  readonly waited: () => number;
  /** Records the result of querying owners of replicas. */
  readonly noteOwnerQuery: (asked: number, known: number, milliseconds: number) => void;
  /** @returns The result of the last query to owners; `undefined` if there was none. */
  readonly ownerQuery: () => OwnerQueryStats | undefined;
  /** Records which replicas were not available at the last placement, with the reasons. */
  readonly noteSkipped: (skipped: string | undefined) => void;
  readonly skipped: () => string | undefined;
  /** Whether it may run more than once. */
  readonly mayRepeat: boolean;
  /** Whether the route allows sending it to another replica. */
  readonly hasAttemptsLeft: () => boolean;
  /** Whether replicas refused it because of their weights too often for another try. */
  readonly isOutOfWeightsRefusals: () => boolean;
  /** Whether connecting to replicas has failed too often for another try. */
  readonly isOutOfConnectionAttempts: () => boolean;
  /** Removes the timer and the listener for the caller's departure. */
  readonly close: () => void;
}

const writeLog = createLogger("requests");

/** Milliseconds. */
const noTimeout = Number.MAX_SAFE_INTEGER;

/** What a run begins with. */
export type ForwardRunStart = Pick<ForwardRun, "request" | "admission" | "sizeFifth">;

/**
 * Begins to serve a request.
 *
 * @param signal - Aborted when the caller goes away.
 */
export const beginRun = (
  { request, admission, sizeFifth }: ForwardRunStart,
  clock: Clock,
  signal: AbortSignal,
): ForwardRun => {
  const { route } = admission;
  const deadline = request.arrivedAt + Math.min(request.timeout ?? noTimeout, route.timeout);
  const stopper = createStopper();
  const sentTo = new Set<string>(request.relayed?.sentTo);
  const excluded = new Set<string>(sentTo);
  /** By id of the replica: how often the request arrived there. */
  const arrivals = new Map<string, number>();
  let weightsRefusals = 0;
  let unsent = 0;
  let mayHaveRun = false;
  let areAttemptsKnown = true;
  let executions = 0;
  let waited = 0;
  let ownerQuery: OwnerQueryStats | undefined;
  let lastChoice: PlacementChoice | undefined;
  let registryAge: number | undefined;
  let skipped: string | undefined;
  const onCallerGone = (): void => stopper.stop("caller_left");
  signal.addEventListener("abort", onCallerGone);
  if (signal.aborted) onCallerGone();
  const onDeadline = (): void => stopper.stop("deadline");
  const cancelDeadline = clock.after(Math.max(0, deadline - clock.monotonic()), onDeadline);

  const noteFailure = (choice: PlacementChoice, failure: UpstreamError): void => {
    const { id } = choice.replica.entry;
    if (failure.progress === "not_sent" || failure.progress === "refused") executions -= 1;
    if (failure.progress === "not_sent") {
      unsent += 1;
      const before = (arrivals.get(id) ?? 0) - 1;
      arrivals.set(id, before);
      if (before === 0) sentTo.delete(id);
      if (before < maxArrivalsAtReplica) excluded.delete(id);
    } else if (failure.progress !== "refused") mayHaveRun = true;
    else if (failure.fault === "wrong_weights") {
      weightsRefusals += 1;
      // Sent again with the weights that it runs, it may be run.
      const hadWeights = choice.weightsVersion !== undefined;
      if (hadWeights && (arrivals.get(id) ?? 0) < maxArrivalsAtReplica) excluded.delete(id);
    }
    writeLog("attempt_failed", {
      request: request.id,
      replica: id,
      fault: failure.fault,
      progress: failure.progress,
      status: failure.status ?? null,
      reason: failure.message,
    });
  };

  return {
    request,
    admission,
    sizeFifth,
    stopper,
    deadline,
    sentTo,
    excluded,
    mayHaveRun: () => mayHaveRun,
    executions: () => executions,
    sends: () => [...arrivals.values()].reduce((sum, count) => sum + count, 0),
    lastChoice: () => lastChoice,
    registryAge: () => registryAge,
    noteChoice: (choice, age) => {
      registryAge = age;
      const { id } = choice.replica.entry;
      sentTo.add(id);
      excluded.add(id);
      arrivals.set(id, (arrivals.get(id) ?? 0) + 1);
      executions += 1;
      lastChoice = choice;
    },
    noteFailure,
    noteSentTo: (ids) => {
      for (const id of ids) {
        sentTo.add(id);
        excluded.add(id);
      }
    },
    noteRelayLost: ({ progress }) => {
      mayHaveRun = true;
      // The head of an answer names the replicas.
      if (progress !== "streaming") areAttemptsKnown = false;
    },
    noteWait: (milliseconds) => {
      waited += milliseconds;
    },
    waited: () => waited,
    noteOwnerQuery: (asked, known, milliseconds) => {
      ownerQuery = { asked, known, milliseconds };
    },
    ownerQuery: () => ownerQuery,
    noteSkipped: (description) => {
      skipped = description;
    },
    skipped: () => skipped,
    mayRepeat: isRepeatable(route),
    hasAttemptsLeft: () => areAttemptsKnown && sentTo.size < route.maximumAttempts,
    isOutOfWeightsRefusals: () => weightsRefusals >= maxWeightsRefusals,
    isOutOfConnectionAttempts: () => unsent >= maxUnsentAttempts,
    close: () => {
      cancelDeadline();
      signal.removeEventListener("abort", onCallerGone);
    },
  };
};
