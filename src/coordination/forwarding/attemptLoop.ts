/** Sends a request to one replica after another, as far as it may be retried, until a response has started. */
import { UpstreamError } from "../../protocol/errors.ts";
import type { CallerRequest } from "../../protocol/forwarding/types.ts";
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
import type { RegistryFreshness } from "../storeReading/registryFreshness.ts";
import { createGrantSearch } from "../replicaLimits/grantSearch.ts";
import type { Availability } from "../replicaReports/availability.ts";
import type { ReplicaPaths } from "../replicaPaths/replicaPaths.ts";
import { createPassOn } from "../relaying/passOn.ts";
import type { Relay } from "../relaying/relay.ts";
import type { UsageAdmission } from "../admission/usageAdmission.ts";
import type { ReplicaOwners } from "../replicaOwners/replicaOwners.ts";
import type { RequestAdmission } from "../admission/requestAdmission.ts";
import { attemptTimeoutShare } from "./constants.ts";
import { failures } from "./failures.ts";
import type { ForwardAttempt, StartedAnswer } from "./forwardAttempt.ts";
import { isSuccess } from "./forwardAttempt.ts";
import type { ForwardRun } from "./forwardRun.ts";
import type { LimitGrants } from "../admission/limitGrants.ts";
import type { LoadAdmission } from "../admission/loadAdmission.ts";
import type { PartWait } from "../placement/partWait.ts";
import type { Placement } from "../placement/placement.ts";
import type { PlacementChoice, PlacementFailure } from "../placement/placementTypes.ts";
import type { Admission } from "./types.ts";
import { createRetryPolicy } from "./retryPolicy.ts";
import type { WeightsExclusion } from "./weightsExclusion.ts";
import type { RetryShare } from "./retryShare.ts";

export interface AttemptLoopDependencies {
  readonly requestAdmission: RequestAdmission;
  readonly placement: Placement;
  readonly availability: Availability;
  readonly owners: Pick<ReplicaOwners, "isEnabled" | "query">;
  /** @returns The key under which a request's organisation is counted; 0 if organisations are not counted. */
  readonly organisationKey: (admission: Admission) => number;
  readonly attempt: ForwardAttempt;
  readonly paths: Pick<ReplicaPaths, "lostFor" | "whenChecked">;
  readonly relay: Relay;
  readonly usage: Pick<UsageAdmission, "admit">;
  readonly grants: LimitGrants;
  readonly retryShare: RetryShare;
  readonly weightsExclusion: WeightsExclusion;
  readonly partWait: PartWait;
  readonly load: LoadAdmission;
  readonly quarantine: QuarantineChecks;
  /** @returns Milliseconds since the time up to which all records of the registry are known. */
  readonly registryAge: () => number;
  readonly registryFreshness: RegistryFreshness;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** Placement, attempts and retries of one request. */
export interface AttemptLoop {
  /**
   * Makes attempts until one of them has a response to pass on.
   *
   * @param lastEventId - For a stream: the id of the last event that the caller has received.
   * @returns The response to pass on; a server error of a replica where no other attempt was possible.
   * @throws `RequestError` where there is no response.
   */
  readonly begin: (run: ForwardRun, lastEventId: string | undefined) => Promise<StartedAnswer>;
  /**
   * Whether another attempt may follow a failure. If so, it is taken from the retry budget, unless the request was not
   * sent. A failure that reached a replica ends the request's quarantine trial.
   */
  readonly mayRetry: (run: ForwardRun, failure: UpstreamError) => Promise<boolean>;
}

const writeLog = createLogger("requests");

const noteNoReplica = ({ request, admission }: ForwardRun, reason: PlacementFailure): void =>
  writeLog("no_replica", { request: request.id, service: admission.service.name, reason });

/**
 * An attempt that can be retried is given up before the deadline, to leave time for the retry.
 *
 * @param now - Milliseconds on the monotonic clock.
 * @returns Milliseconds; `undefined` if no other attempt may follow.
 */
const attemptTimeout = (run: ForwardRun, now: number): number | undefined =>
  run.mayRepeat && run.hasAttemptsLeft() ? (run.deadline - now) * attemptTimeoutShare : undefined;

/** @returns The error for the caller after the last attempt. */
type FinalFailure = (
  run: ForwardRun,
  failure: UpstreamError | undefined,
  search: GrantSearch,
) => RequestError;

const createFinalFailure = ({
  quarantine,
  grants,
  availability,
  metrics,
  clock,
}: AttemptLoopDependencies): FinalFailure => {
  return (run, failure, search) => {
    if (run.stopper.reason() === "deadline") return failures.deadlineExceeded(run.mayHaveRun(), failure);
    if (run.mayHaveRun()) return failures.outcomeUnknown(failure);
    if (quarantine.isQuarantined(run.request))
      return failures.quarantined(quarantine.comeBackAfter(run.request));
    if (search.wasLimited()) return grants.refuse(run);
    const retryAfter = availability.retryAfter(run.admission.service.name);
    if (retryAfter !== undefined) {
      metrics.count(metricNames.rejectedUnavailable);
      return failures.unavailable(retryAfter, failure);
    }
    const left = run.deadline - clock.monotonic();
    return run.sends() > 0 ? failures.refusedByReplicas(left, failure) : failures.notRun(left, failure);
  };
};

/** Creates the loop of attempts. */
export const createAttemptLoop = (dependencies: AttemptLoopDependencies): AttemptLoop => {
  const { requestAdmission, placement, availability, owners, load, quarantine, grants, weightsExclusion } =
    dependencies;
  const { metrics, clock, registryFreshness } = dependencies;
  const { mayRetry, mayRetryAnswer } = createRetryPolicy(dependencies);
  const finalFailure = createFinalFailure(dependencies);

  const mayBeSent = (request: CallerRequest, before: number): boolean =>
    requestAdmission.isKeyValid(request) && clock.monotonic() < before && !quarantine.isQuarantined(request);

  const { hasPath, whenChecked, passOn } = createPassOn({ ...dependencies, maySend: mayBeSent });

  const attemptOnce = async (
    run: ForwardRun,
    choice: PlacementChoice,
    lastEventId: string | undefined,
    grant: Grant | undefined,
  ): Promise<StartedAnswer> => {
    const { request, admission, deadline } = run;
    const stopper = createStopper(run.stopper);
    run.noteChoice(choice, dependencies.registryAge());
    const timeout = attemptTimeout(run, clock.monotonic());
    const stopTimer = timeout === undefined ? undefined : clock.after(timeout, () => stopper.stop("silent"));
    metrics.count(metricNames.attempts);
    // A grant expires: if this process was paused since, the capacity may be granted to another request by now.
    const sendBefore = Math.min(deadline, grant?.until ?? deadline);
    let isSent = false;
    const maySend = (): boolean => {
      isSent ||= mayBeSent(request, sendBefore);
      return isSent;
    };
    const mayRepeat = run.mayRepeat && run.hasAttemptsLeft();
    const abandon = (): void => {
      if (mayRepeat || !isSent) stopper.stop("silent");
    };
    try {
      const plan = { request, admission, choice, deadline, lastEventId, maySend, abandon };
      return await dependencies.attempt(plan, stopper.signal);
    } finally {
      stopTimer?.();
    }
  };

  /**
   * Queries the owners of replicas for their current state.
   *
   * @returns The replicas whose owners answered in time; all that were queried if none did.
   */
  const queryOwners = async (
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
    const known = await owners.query(replicas, keys, dependencies.organisationKey(admission));
    run.noteOwnerQuery(replicas.length, known.length, Math.round(clock.monotonic() - askedAt));
    return known.length > 0 ? known : replicas;
  };

  const waitForPart = async (run: ForwardRun, part: number): Promise<void> => {
    const startedAt = clock.monotonic();
    await dependencies.partWait(part, run.admission.route.latencyObjective, run.stopper.signal);
    run.noteWait(clock.monotonic() - startedAt);
  };

  const begin = async (run: ForwardRun, lastEventId: string | undefined): Promise<StartedAnswer> => {
    let failure: UpstreamError | undefined;
    let wasPassedOn = false;
    let errorAnswer: StartedAnswer | undefined;
    let hasWaited = false;
    let isWide = false;
    const waitForWeights = weightsExclusion.createWait(run);
    const search = createGrantSearch();
    // Checked before each attempt, also one that resumes a stream: the previous one may have shown that the request
    // crashes replicas.
    while (!quarantine.isQuarantined(run.request) && !search.isExhausted()) {
      // A failed attempt may be the first sign of a partition.
      if (failure !== undefined) await whenChecked(run);
      if (!hasPath(run) && !wasPassedOn && (run.sentTo.size === 0 || run.hasAttemptsLeft())) {
        wasPassedOn = true;
        try {
          const answer = await passOn(run, { lastEventId, timeout: attemptTimeout(run, clock.monotonic()) });
          if (answer !== undefined) return answer;
        } catch (error) {
          if (!(error instanceof UpstreamError)) throw error;
          failure = error;
          if (!(await mayRetry(run, error))) break;
          wasPassedOn = false;
          continue;
        }
      }
      await dependencies.usage.admit(run);
      const excluded = search.excluded(weightsExclusion.excludedFor(run));
      const known = owners.isEnabled() ? await queryOwners(run, excluded, isWide, search) : undefined;
      const limited = search.limitedChoice();
      const choice = placement.choose(run.request, run.admission, excluded, known, limited);
      run.noteSkipped(availability.describeSkipped(run.admission.service.name));
      if (typeof choice === "string") {
        if (search.widen(choice) || (await waitForWeights())) continue;
        noteNoReplica(run, choice);
        break;
      }
      if (choice.awaitedPart !== undefined && !hasWaited && load.mayWait(run, choice)) {
        hasWaited = true;
        await waitForPart(run, choice.awaitedPart);
        continue;
      }
      const refusal = load.decide(run, choice);
      if (refusal !== undefined && owners.isEnabled() && !isWide) {
        isWide = true;
        continue;
      }
      // Throws.
      if (refusal !== undefined) load.refuse(run, choice, refusal);
      const isLimited = choice.replica.limit !== undefined;
      const grant = isLimited ? await grants.acquire(run, choice, search) : undefined;
      if (isLimited && grant === undefined) continue;
      // Refusals don't wait for it. A replica that turns out to have left is withheld from the attempt.
      if (!registryFreshness.isUsable()) await registryFreshness.refresh();
      try {
        const answer = await attemptOnce(run, choice, lastEventId, grant);
        if (isSuccess(answer.head) || !(await mayRetryAnswer(run, answer))) return answer;
        errorAnswer = answer;
        failure = undefined;
      } catch (error) {
        if (!(error instanceof UpstreamError)) throw error;
        failure = error;
        run.noteFailure(choice, error);
        if (await mayRetry(run, error)) continue;
        await whenChecked(run);
        if (error.progress !== "not_sent" || hasPath(run) || wasPassedOn) break;
      }
    }
    // A server error that a replica has sent is passed on.
    if (errorAnswer !== undefined) return errorAnswer;
    throw finalFailure(run, failure, search);
  };

  return { begin, mayRetry };
};
