/** What the parts of one running request share. */
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { Claim, ClaimLedger } from "../claims/ClaimLedger.ts";
import type { QuarantineChecks } from "../crashes/quarantine.ts";
import type { BindWeights } from "../weightsBinder.ts";
import type { DeliveredAnswer } from "./deliveredAnswer.ts";
import type { AttemptDependencies } from "./attempt.ts";
import type { RetryBudget } from "./retryBudget.ts";
import type { RetryDecision } from "./retryDecision.ts";
import type { Stopper } from "./stopper.ts";
import type { CompletionJob } from "./types.ts";

/** What runs work with. */
export interface CompletionRunDependencies extends AttemptDependencies {
  readonly quarantine: QuarantineChecks<CompletionJob>;
  readonly fingerprintOf: (job: CompletionJob) => Fingerprint;
  readonly claims: ClaimLedger;
  /** Chooses among versions of weights in a roll-out; without it what the configuration names answers. */
  readonly bindWeights?: BindWeights;
  readonly retryBudget: RetryBudget;
  /** A number from 0 up to but not including 1. */
  readonly random: () => number;
}

/** What has become of a request; changed by its own task only. */
export interface RunState {
  readonly answer: DeliveredAnswer;
  /** Engines that failed this request. */
  readonly excluded: Set<string>;
  /** A scheduler has given the request an engine before. */
  wasAdmitted: boolean;
  mayHaveRun: boolean;
  claim: Claim | undefined;
  /** It has gone on once although it is held back. */
  hasContinuedQuarantined: boolean;
  /** The answer has come to its end. */
  finished: boolean;
}

/** One request under way. */
export interface RunScope {
  readonly dependencies: CompletionRunDependencies;
  readonly job: CompletionJob;
  readonly state: RunState;
  readonly stopper: Stopper;
  readonly retries: RetryDecision;
}
