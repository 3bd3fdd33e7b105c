/** Attempts one after another, as far as a request may run again, until one begins well. */
import { UpstreamError } from "../../protocol/errors.ts";
import type { RequestError } from "../../protocol/errors.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import { metricNames } from "../../state/constants.ts";
import type { Clock } from "../clock.ts";
import { createStopper } from "../requests/stopper.ts";
import type { QuarantineChecks } from "../crashes/quarantine.ts";
import type { Grant } from "../replicaLimits/replicaLimits.ts";
import type { GrantSearch } from "../replicaLimits/grantSearch.ts";
import { createGrantSearch } from "../replicaLimits/grantSearch.ts";
import type { Availability } from "../replicaReports/availability.ts";
import type { ReplicaOwners } from "../replicaOwners/replicaOwners.ts";
import type { RequestAdmission } from "./requestAdmission.ts";
import { attemptTimeoutShare } from "./constants.ts";
import { failures } from "./failures.ts";
import type { StartedAnswer, ForwardAttempt } from "./forwardAttempt.ts";
import { isSuccess } from "./forwardAttempt.ts";
import type { ForwardRun } from "./forwardRun.ts";
import type { LimitGrants } from "./limitGrants.ts";
import type { LoadAdmission } from "./loadAdmission.ts";
import type { PartWait } from "./partWait.ts";
import type { Placement } from "./placement.ts";
import type { PlacementChoice, PlacementFailure } from "./placementTypes.ts";
import { createRetryPolicy } from "./retryPolicy.ts";
import type { RetryShare } from "./retryShare.ts";

/** What attempts are made with. */
export interface AttemptLoopDependencies {
  readonly requestAdmission: RequestAdmission;
  readonly placement: Placement;
  readonly availability: Availability;
  readonly owners: Pick<ReplicaOwners, "isNeeded" | "ask">;
  readonly attempt: ForwardAttempt;
  readonly grants: LimitGrants;
  readonly retryShare: RetryShare;
  readonly partWait: PartWait;
  readonly load: LoadAdmission;
  readonly quarantine: QuarantineChecks;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** See {@link createAttemptLoop}. */
export interface AttemptLoop {
  /**
   * @param lastEventId - Of a stream: the last event that the caller has.
   * @returns An answer to pass on; throws `RequestError`.
   */
  readonly begin: (run: ForwardRun, lastEventId: string | undefined) => Promise<StartedAnswer>;
  /** Whether a further attempt may follow a failure; it is counted if so. */
  readonly mayRetry: (run: ForwardRun, failure: UpstreamError) => boolean;
}

const writeLog = createLogger("requests");

/** Makes attempts by what placement chooses. */
export const createAttemptLoop = (parts: AttemptLoopDependencies): AttemptLoop => {
  const {
    requestAdmission: admit,
    placement,
    availability,
    owners,
    load,
    quarantine,
    grants: turns,
    metrics,
    clock,
  } = parts;
  const { mayRetry, mayRetryAnswer: isWorthAnother } = createRetryPolicy(parts);

  /** An attempt that another one may follow is not waited for until the end. */
  const attemptLimit = (run: ForwardRun): number | undefined => {
    if (!run.mayRepeat || !run.hasAttemptsLeft()) return undefined;
    return (run.deadline - clock.monotonic()) * attemptTimeoutShare;
  };

  const attemptOnce = async (
    run: ForwardRun,
    choice: PlacementChoice,
    lastEventId: string | undefined,
    turn: Grant | undefined,
  ): Promise<StartedAnswer> => {
    const { request, admission, deadline } = run;
    const stopper = createStopper(run.stopper);
    run.noteChoice(choice);
    const limit = attemptLimit(run);
    const callOff = limit === undefined ? undefined : clock.after(limit, () => stopper.stop("silent"));
    metrics.count(metricNames.attempts);
    // A turn that was granted long ago, before this process stood still, may be another request's by now.
    const latest = Math.min(deadline, turn?.until ?? deadline);
    const mayLeave = (): boolean =>
      admit.isKeyValid(request) && clock.monotonic() < latest && !quarantine.isQuarantined(request);
    const abandon = run.mayRepeat && run.hasAttemptsLeft() ? () => stopper.stop("silent") : undefined;
    try {
      const plan = { request, admission, choice, deadline, lastEventId, mayLeave, abandon };
      return await parts.attempt(plan, stopper.signal);
    } finally {
      callOff?.();
    }
  };

  /** Replicas whose state is known as of now; where nobody answers, those that were asked about. */
  const consult = async (
    run: ForwardRun,
    excluded: ReadonlySet<string>,
    isWide: boolean,
    search: GrantSearch,
  ): Promise<readonly ReplicaState[]> => {
    const { request, admission } = run;
    const { replicas, keys } = placement.shortlist(
      request,
      admission,
      excluded,
      isWide,
      search.limitedChoice(),
    );
    const askedAt = clock.monotonic();
    const known = await owners.query(replicas, keys);
    run.noteOwnerQuery(replicas.length, known.length, Math.round(clock.monotonic() - askedAt));
    return known.length > 0 ? known : replicas;
  };

  const choose = (
    { request, admission }: ForwardRun,
    excluded: ReadonlySet<string>,
    among: readonly ReplicaState[] | undefined,
    search: GrantSearch,
  ): PlacementChoice | PlacementFailure =>
    placement.choose(request, admission, excluded, among, search.limitedChoice());

  const noteNoReplica = ({ request, admission }: ForwardRun, reason: PlacementFailure): void =>
    writeLog("no_replica", { request: request.id, service: admission.service.name, reason });

  const finalFailure = (
    run: ForwardRun,
    failure: UpstreamError | undefined,
    search: GrantSearch,
  ): RequestError => {
    if (run.stopper.reason() === "deadline") return failures.deadlineExceeded(run.mayHaveRun(), failure);
    if (run.mayHaveRun()) return failures.outcomeUnknown(failure);
    if (quarantine.isQuarantined(run.request))
      return failures.quarantined(quarantine.comeBackAfter(run.request));
    if (search.wasLimited()) return turns.refuse(run);
    const retryAfter = availability.retryAfter(run.admission.service.name);
    if (retryAfter !== undefined) {
      metrics.count(metricNames.rejectedUnavailable);
      return failures.unavailable(retryAfter, failure);
    }
    return failures.notRun(run.deadline - clock.monotonic(), failure);
  };

  const waitForPart = async (run: ForwardRun, part: number): Promise<void> => {
    const begunAt = clock.monotonic();
    await parts.partWait(part, run.admission.route.latencyObjective, run.stopper.signal);
    run.noteWait(clock.monotonic() - begunAt);
  };

  const begin = async (run: ForwardRun, lastEventId: string | undefined): Promise<StartedAnswer> => {
    let failure: UpstreamError | undefined;
    let failedThere: StartedAnswer | undefined;
    let hasWaited = false;
    let isWide = false;
    const search = createGrantSearch();
    // Each attempt, one that resumes a stream too: the one before may have shown that it crashes replicas.
    while (!quarantine.isQuarantined(run.request) && !search.isExhausted()) {
      const excluded = search.excluded(failure?.fault === "wrong_weights" ? new Set<string>() : run.sentTo);
      const known = owners.isEnabled() ? await consult(run, excluded, isWide, search) : undefined;
      const choice = choose(run, excluded, known, search);
      run.noteSkipped(availability.describeSkipped(run.admission.service.name));
      if (typeof choice === "string") {
        if (search.widen(choice)) continue;
        noteNoReplica(run, choice);
        break;
      }
      if (choice.awaitedPart !== undefined && !hasWaited) {
        hasWaited = true;
        await waitForPart(run, choice.awaitedPart);
        continue;
      }
      const comeBackAfter = load.comeBackAfter(run, choice);
      if (comeBackAfter !== undefined && owners.isEnabled() && !isWide) {
        isWide = true;
        continue;
      }
      if (comeBackAfter !== undefined) load.refuse(run, choice, comeBackAfter);
      const isLimited = choice.replica.limit !== undefined;
      const turn = isLimited ? await turns.acquire(run, choice, search) : undefined;
      if (isLimited && turn === undefined) continue;
      try {
        const answer = await attemptOnce(run, choice, lastEventId, turn);
        if (isSuccess(answer.head) || !isWorthAnother(run, answer)) return answer;
        failedThere = answer;
        failure = undefined;
      } catch (error) {
        if (!(error instanceof UpstreamError)) throw error;
        failure = error;
        run.noteFailure(choice, error);
        if (!mayRetry(run, error)) break;
      }
    }
    // A replica's own failure is an answer too.
    if (failedThere !== undefined) return failedThere;
    throw finalFailure(run, failure, search);
  };

  return { begin, mayRetry };
};
