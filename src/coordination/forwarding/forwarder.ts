/** Answers a request that is passed on untouched: admission, attempts, and the one final answer. */
import type { CallerRequest, ForwardedAnswer } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import { metricNames } from "../../state/constants.ts";
import type { AttemptLoopDependencies } from "./attemptLoop.ts";
import { createAttemptLoop } from "./attemptLoop.ts";
import type { ConfigurationState } from "./configurationState.ts";
import { isSuccess } from "./forwardAttempt.ts";
import { failures } from "./failures.ts";
import type { OwnerQueryStats, ForwardRun } from "./forwardRun.ts";
import { beginRun } from "./forwardRun.ts";
import type { Shutdown } from "./shutdown.ts";
import { relayStream } from "./streamRelay.ts";
import type { Admission } from "./types.ts";
import type { UsageAdmission } from "./usageAdmission.ts";

/** What forwarding works with. */
export interface ForwarderDependencies extends AttemptLoopDependencies {
  readonly configuration: ConfigurationState;
  readonly shutdown: Shutdown;
  readonly usage: UsageAdmission;
}

/** See {@link createForwarder}. */
export interface Forwarder {
  /** @param signal - Aborted when the caller goes away. @returns The answer; throws `RequestError`. */
  readonly forward: (request: CallerRequest, signal: AbortSignal) => Promise<ForwardedAnswer>;
  readonly openRequests: () => number;
}

/** What became of a request, as its line in the log says. */
type RunOutcome = "served" | "failed_there" | "failed" | "stream_broken" | "stream_left";

const writeLog = createLogger("requests");

const reasonOf = (error: unknown): string => (error instanceof Error ? error.message : String(error));

const describeConsultation = (consultation: OwnerQueryStats | undefined): Readonly<Record<string, number>> =>
  consultation === undefined
    ? {}
    : {
        replicasAsked: consultation.asked,
        replicasKnown: consultation.known,
        askedFor: consultation.milliseconds,
      };

/** The age of a configuration that was never confirmed is no number that JSON knows. */
const finiteAge = ({ age }: ConfigurationState): number =>
  Math.round(Math.min(age(), Number.MAX_SAFE_INTEGER));

/** Creates a forwarder. */
export const createForwarder = (parts: ForwarderDependencies): Forwarder => {
  const { requestAdmission: admit, retryShare, quarantine, configuration, metrics, clock } = parts;
  const loop = createAttemptLoop(parts);
  let open = 0;

  /** Costs nothing but a look where nothing is held back. */
  const checkQuarantine = async ({ request }: ForwardRun): Promise<void> => {
    const wait = await quarantine.admit(request);
    if (wait === undefined) return;
    metrics.count(metricNames.quarantined);
    throw failures.quarantined(wait);
  };

  const end = (run: ForwardRun, outcome: RunOutcome, reason?: string): void => {
    const { request, admission, sentTo } = run;
    const choice = run.lastChoice();
    const skipped = run.skipped();
    run.close();
    parts.usage.settle(run);
    open -= 1;
    const milliseconds = Math.round(clock.monotonic() - request.arrivedAt);
    const { kind } = admission.route;
    metrics.count(metricNames.requests, 1, { kind, outcome });
    metrics.time(metricNames.requestTime, milliseconds, { kind, outcome });
    writeLog(outcome, {
      request: request.id,
      route: admission.route.name,
      organisation: admission.organisation?.name ?? null,
      replica: choice?.replica.entry.id ?? null,
      attempts: sentTo.size,
      milliseconds,
      configurationVersion: admission.table.configuration.version,
      configurationAge: finiteAge(configuration),
      weightsVersion: choice?.weightsVersion ?? null,
      predictedWait: choice === undefined ? null : Math.round(choice.predictedWait),
      promptTokens: choice?.promptTokens ?? null,
      copiedFrom: choice?.fetchFrom ?? null,
      waitedForPart: Math.round(run.waited()),
      ...describeConsultation(run.ownerQuery()),
      ...(skipped === undefined ? {} : { skipped }),
      ...(reason === undefined ? {} : { reason }),
    });
  };

  const admitOrLog = (request: CallerRequest): Admission => {
    try {
      return admit.admit(request);
    } catch (error) {
      metrics.count(metricNames.refusals);
      writeLog("refused", {
        request: request.id,
        reason: reasonOf(error),
        configurationVersion: configuration.table()?.configuration.version ?? null,
        storeEpoch: configuration.epoch(),
        readAge: Math.round(Math.min(configuration.readAge(), Number.MAX_SAFE_INTEGER)),
        configurationAge: finiteAge(configuration),
      });
      throw error;
    }
  };

  const watched = async function* (
    run: ForwardRun,
    body: AsyncGenerator<Buffer, void>,
  ): AsyncGenerator<Buffer, void> {
    let outcome: RunOutcome = "stream_left";
    let reason: string | undefined;
    try {
      yield* body;
      outcome = "served";
    } catch (error) {
      outcome = "stream_broken";
      reason = reasonOf(error);
      throw error;
    } finally {
      end(run, outcome, reason);
    }
  };

  const answer = async (run: ForwardRun): Promise<ForwardedAnswer> => {
    const begun = await loop.begin(run, run.request.lastEventId);
    const { status, headers } = begun.head;
    if (begun.rest !== undefined)
      return { status, headers, body: watched(run, relayStream(loop, run, begun)) };
    end(run, isSuccess(begun.head) ? "served" : "failed_there");
    return { status, headers, body: Buffer.concat(begun.firstChunks) };
  };

  return {
    forward: async (request, signal) => {
      const admission = admitOrLog(request);
      retryShare.noteRequest(admission.service.name);
      const run = beginRun(request, admission, clock, signal);
      open += 1;
      try {
        if (!parts.shutdown.mayAccept(run.deadline)) throw failures.shuttingDown();
        await checkQuarantine(run);
        await parts.usage.admit(run);
        return await answer(run);
      } catch (error) {
        end(run, "failed", reasonOf(error));
        throw error;
      }
    },
    openRequests: () => open,
  };
};
