/** One caller's request under way: what it may still do, and what has been tried for it. */
import type { UpstreamError } from "../../protocol/errors.ts";
import type { CallerRequest } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import type { Stopper } from "../requests/stopper.ts";
import { createStopper } from "../requests/stopper.ts";
import { maxUnsentAttempts } from "./constants.ts";
import type { PlacementChoice } from "./placementTypes.ts";
import type { Admission } from "./types.ts";

/** What came of asking the owners of replicas, for the log. */
export interface OwnerQueryStats {
  /** Replicas asked about. */
  readonly asked: number;
  /** Those of them whose state is known. */
  readonly known: number;
  readonly milliseconds: number;
}

/** See the module. */
export interface ForwardRun {
  readonly request: CallerRequest;
  readonly admission: Admission;
  /** Thrown when nobody waits for the answer any more, or the time is over. */
  readonly stopper: Stopper;
  /** When the caller must have its final answer, milliseconds on the monotonic clock. */
  readonly deadline: number;
  /** Replicas that the request was sent to. */
  readonly sentTo: ReadonlySet<string>;
  /** A replica may have run it. */
  readonly mayHaveRun: () => boolean;
  /** How often it may have run, or run now. */
  readonly executions: () => number;
  /** The last replica chosen, and the weights that it was expected to have. */
  readonly lastChoice: () => PlacementChoice | undefined;
  /** The request is about to be sent. */
  readonly noteChoice: (choice: PlacementChoice) => void;
  readonly noteFailure: (choice: PlacementChoice, failure: UpstreamError) => void;
  /** It waited for a prompt part. @param milliseconds - How long. */
  readonly noteWait: (milliseconds: number) => void;
  /** Milliseconds that it waited for prompt parts. */
  readonly waited: () => number;
  /** Owners of replicas were asked. @param milliseconds - How long it took. */
  readonly noteOwnerQuery: (asked: number, known: number, milliseconds: number) => void;
  /** The last time that owners were asked; nothing if they never were. */
  readonly ownerQuery: () => OwnerQueryStats | undefined;
  /** Replicas that were not available when it was placed last, with the reasons. */
  readonly noteSkipped: (skipped: string | undefined) => void;
  readonly skipped: () => string | undefined;
  /** Whether it may run a second time. */
  readonly mayRepeat: boolean;
  /** Whether the route allows it to be sent to one more replica. */
  readonly hasAttemptsLeft: () => boolean;
  /** Whether it failed too often to reach any replica. */
  readonly isOutOfConnectionAttempts: () => boolean;
  /** Lets go of the caller and the clock. */
  readonly close: () => void;
}

const writeLog = createLogger("requests");

/** Longer than any request takes, milliseconds. */
const endless = Number.MAX_SAFE_INTEGER;

/**
 * Begins a run.
 *
 * @param signal - Aborted when the caller goes away.
 */
export const beginRun = (
  request: CallerRequest,
  admission: Admission,
  clock: Clock,
  signal: AbortSignal,
): ForwardRun => {
  const { route } = admission;
  const deadline = request.arrivedAt + Math.min(request.timeout ?? endless, route.timeout);
  const stopper = createStopper();
  const sentTo = new Set<string>();
  let unsent = 0;
  let mayHaveRun = false;
  let runs = 0;
  let waited = 0;
  let consultation: OwnerQueryStats | undefined;
  let lastChoice: PlacementChoice | undefined;
  let skipped: string | undefined;
  const leave = (): void => stopper.stop("caller_left");
  signal.addEventListener("abort", leave);
  if (signal.aborted) leave();
  const expire = (): void => stopper.stop("deadline");
  const callOff = clock.after(Math.max(0, deadline - clock.monotonic()), expire);

  const noteFailure = (choice: PlacementChoice, failure: UpstreamError): void => {
    const { id } = choice.replica.entry;
    if (failure.progress === "not_sent" || failure.progress === "refused") runs -= 1;
    if (failure.progress === "not_sent") {
      unsent += 1;
      sentTo.delete(id);
    } else if (failure.progress !== "refused") mayHaveRun = true;
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
    stopper,
    deadline,
    sentTo,
    mayHaveRun: () => mayHaveRun,
    executions: () => runs,
    lastChoice: () => lastChoice,
    noteChoice: (choice) => {
      sentTo.add(choice.replica.entry.id);
      runs += 1;
      lastChoice = choice;
    },
    noteFailure,
    noteWait: (milliseconds) => {
      waited += milliseconds;
    },
    waited: () => waited,
    noteOwnerQuery: (asked, known, milliseconds) => {
      consultation = { asked, known, milliseconds };
    },
    ownerQuery: () => consultation,
    noteSkipped: (described) => {
      skipped = described;
    },
    skipped: () => skipped,
    mayRepeat: route.kind === "repeatable" || route.kind === "resumableEventStream",
    hasAttemptsLeft: () => sentTo.size < route.maximumAttempts,
    isOutOfConnectionAttempts: () => unsent >= maxUnsentAttempts,
    close: () => {
      callOff();
      signal.removeEventListener("abort", leave);
    },
  };
};
