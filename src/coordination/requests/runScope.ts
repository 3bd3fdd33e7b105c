/** State and dependencies that the modules running one request share. */
import type { RequestTrait } from "../../protocol/forwarding/requestTrait.ts";
import type { Claim, ClaimLedger } from "../claims/ClaimLedger.ts";
import type { QuarantineChecks } from "../crashes/quarantine.ts";
import type { BindWeights } from "../weightsBinder.ts";
import type { DeliveredAnswer } from "./deliveredAnswer.ts";
import type { AttemptDependencies } from "./attempt.ts";
import type { RetryBudget } from "./retryBudget.ts";
import type { RetryDecision } from "./retryDecision.ts";
import type { Stopper } from "./stopper.ts";
import type { CompletionJob } from "./types.ts";

export interface CompletionRunDependencies extends AttemptDependencies {
  readonly quarantine: QuarantineChecks<CompletionJob>;
  readonly traitsOf: (job: CompletionJob) => readonly RequestTrait[];
  readonly claims: ClaimLedger;
  /** Chooses between versions of weights during a roll-out. Without it, the configured version is used. */
  readonly bindWeights?: BindWeights;
  readonly retryBudget: RetryBudget;
  /** Returns a number from 0 up to but not including 1. */
  readonly random: () => number;
}

/** The state of a request. Only the request's own task changes it. */
export interface RunState {
  readonly answer: DeliveredAnswer;
  /** Engines that failed this request. */
  readonly excluded: Set<string>;
  /** The scheduler has assigned an engine to the request at least once. */
  wasAdmitted: boolean;
  /** An engine may have run the request, completely or in part. */
  mayHaveRun: boolean;
  claim: Claim | undefined;
  /** It has been sent to an engine although it is quarantined, which is allowed once. */
  hasContinuedQuarantined: boolean;
  /** The answer has been received completely. */
  finished: boolean;
}

/** One request in progress. */
export interface RunScope {
  readonly dependencies: CompletionRunDependencies;
  readonly job: CompletionJob;
  readonly state: RunState;
  readonly stopper: Stopper;
  readonly retries: RetryDecision;
}
