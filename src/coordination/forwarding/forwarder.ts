/**
 * Forwards a request unchanged: admission, attempts at replicas, one final response, its log line and metrics. Used by
 * daemons/forwardingRouter.ts; the OpenAI-style completions of daemons/router.ts don't pass through here.
 */
import type { CallerRequest, ForwardedAnswer } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import { metricNames } from "../../state/constants.ts";
import type { AttemptLoopDependencies } from "./attemptLoop.ts";
import { createAttemptLoop } from "./attemptLoop.ts";
import type { PromptSizes, SizeFifth } from "../admission/promptSizes.ts";
import type { ConfigurationState } from "./configurationState.ts";
import { finiteAge } from "./finiteAge.ts";
import { isSuccess } from "./forwardAttempt.ts";
import { failures } from "./failures.ts";
import type { ForwardRun, OwnerQueryStats } from "./forwardRun.ts";
import { beginRun } from "./forwardRun.ts";
import type { Shutdown } from "./shutdown.ts";
import { relayStream } from "./streamRelay.ts";
import type { Admission } from "./types.ts";
import type { UsageAdmission } from "../admission/usageAdmission.ts";

export interface ForwarderDependencies extends AttemptLoopDependencies {
  readonly configuration: ConfigurationState;
  readonly shutdown: Shutdown;
  readonly usage: UsageAdmission;
  readonly promptSizes: PromptSizes;
}

export interface Forwarder {
  /**
   * Checks what the head of a request already decides: its route, its key and the age of the configuration.
   *
   * @returns The name of its organisation; empty for none.
   * @throws `RequestError` where the request can't be served.
   */
  readonly admitHead: (request: CallerRequest) => string;
  /**
   * Serves a request.
   *
   * @param signal - Aborted when the caller goes away.
   * @returns The response; the body of a stream throws where it is cut off.
   * @throws `RequestError` where there is no response.
   */
  readonly forward: (request: CallerRequest, signal: AbortSignal) => Promise<ForwardedAnswer>;
  /** @returns The number of requests that are being served. */
  readonly openRequests: () => number;
}

/** How a request has ended: the event of its log line. */
type RunOutcome = "served" | "failed_there" | "failed" | "stream_broken" | "stream_left";

const writeLog = createLogger("requests");

const reasonOf = (error: unknown): string => (error instanceof Error ? error.message : String(error));

const describeOwnerQuery = (ownerQuery: OwnerQueryStats | undefined): Readonly<Record<string, number>> =>
  ownerQuery === undefined
    ? {}
    : {
        replicasAsked: ownerQuery.asked,
        replicasKnown: ownerQuery.known,
        askedFor: ownerQuery.milliseconds,
      };

/** Creates a forwarder. */
export const createForwarder = (dependencies: ForwarderDependencies): Forwarder => {
  const { requestAdmission, retryShare, quarantine, configuration, metrics, clock } = dependencies;
  const loop = createAttemptLoop(dependencies);
  let open = 0;

  /** Rejects a quarantined request. Cheap while nothing is quarantined. */
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
    const registryAge = run.registryAge();
    run.close();
    dependencies.usage.settle(run);
    open -= 1;
    const milliseconds = Math.round(clock.monotonic() - request.arrivedAt);
    const { kind } = admission.route;
    const reach = dependencies.availability.countReachable(admission.service.name);
    const sizeFifth = run.sizeFifth ?? null;
    if (request.relayed === undefined) {
      metrics.count(metricNames.requests, 1, { kind, outcome });
      if (sizeFifth !== null) {
        const tags = { route: admission.route.name, size: String(sizeFifth), outcome };
        metrics.count(metricNames.requestsBySize, 1, tags);
      }
      metrics.time(metricNames.requestTime, milliseconds, { kind, outcome });
    } else metrics.count(metricNames.relayedRequests, 1, { kind, outcome });
    writeLog(outcome, {
      request: request.id,
      route: admission.route.name,
      organisation: admission.organisation?.name ?? null,
      replica: choice?.replica.entry.id ?? null,
      attempts: sentTo.size,
      sends: run.sends(),
      milliseconds,
      configurationVersion: admission.table.configuration.version,
      configurationAge: finiteAge(configuration.age()),
      registryAge: registryAge === undefined ? null : finiteAge(registryAge),
      weightsVersion: choice?.weightsVersion ?? null,
      predictedWait: choice === undefined ? null : Math.round(choice.predictedWait),
      promptTokens: choice?.promptTokens ?? null,
      promptSize: request.prompt?.tokens ?? null,
      sizeFifth,
      copiedFrom: choice?.fetchFrom ?? null,
      waitedForPart: Math.round(run.waited()),
      ...describeOwnerQuery(run.ownerQuery()),
      ...(skipped === undefined ? {} : { skipped }),
      ...(request.relayed === undefined ? {} : { relayedBy: request.relayed.source }),
      ...(reach.unreachable === 0 ? {} : { unreachable: `${reach.unreachable}/${reach.serving}` }),
      ...(reason === undefined ? {} : { reason }),
    });
  };

  const rankBySize = ({ prompt }: CallerRequest, { route }: Admission): SizeFifth | undefined =>
    prompt === undefined ? undefined : dependencies.promptSizes.rank(route.name, prompt.tokens);

  const admitOrLog = (request: CallerRequest): Admission => {
    try {
      return requestAdmission.admit(request);
    } catch (error) {
      metrics.count(metricNames.refusals);
      writeLog("refused", {
        request: request.id,
        reason: reasonOf(error),
        configurationVersion: configuration.table()?.configuration.version ?? null,
        storeEpoch: configuration.epoch(),
        readAge: finiteAge(configuration.readAge()),
        configurationAge: finiteAge(configuration.age()),
      });
      throw error;
    }
  };

  const trackBody = async function* (
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
    const started = await loop.begin(run, run.request.lastEventId);
    const { status, headers } = started.head;
    if (started.rest !== undefined)
      return {
        status,
        headers,
        body: trackBody(run, relayStream(loop, run, started)),
        sentTo: [...run.sentTo],
      };
    end(run, isSuccess(started.head) ? "served" : "failed_there");
    return { status, headers, body: Buffer.concat(started.firstChunks), sentTo: [...run.sentTo] };
  };

  return {
    admitHead: (request) => admitOrLog(request).organisation?.name ?? "",
    forward: async (request, signal) => {
      const admission = admitOrLog(request);
      // The router that got it from the caller has counted it.
      if (request.relayed === undefined) retryShare.noteRequest(admission.service.name);
      const run = beginRun({ request, admission, sizeFifth: rankBySize(request, admission) }, clock, signal);
      open += 1;
      try {
        if (!dependencies.shutdown.mayAccept(run.deadline)) throw failures.shuttingDown();
        await checkQuarantine(run);
        return await answer(run);
      } catch (error) {
        end(run, "failed", reasonOf(error));
        throw error;
      }
    },
    openRequests: () => open,
  };
};
