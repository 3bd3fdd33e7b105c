/**
 * Passes requests on to routers that have paths to the replicas of a service while this router has none.
 *
 * Load pattern: a router that has lost its paths gets as many requests as before, since callers reach it and it is
 * ready. Refusing them would fail the first tries of its callers for the whole partition.
 *
 * Decision: the other router admits the request by the caller's own key and its own configuration, and serves it like
 * one of its own callers. A request is passed on once at a time and never further, with the time that is left and the
 * replicas that it was sent to. Its answer, also a refusal for want of capacity, is final. Only a router that states
 * that the request has not run, for reasons of its own, is followed by the next one.
 *
 * Way back: each request is passed on only while the paths are lost when it is sent.
 */
import { outcomes } from "../../protocol/constants.ts";
import type { RequestError } from "../../protocol/errors.ts";
import { requestError, UpstreamError } from "../../protocol/errors.ts";
import { collectBody } from "../../protocol/forwarding/collectBody.ts";
import type { RelayClient, RelayedAnswer, RelayRefusal } from "../../protocol/forwarding/RelayClient.ts";
import { relayCodes } from "../../protocol/forwarding/RelayClient.ts";
import { createLogger } from "../../state/log.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { failures, refusedByReplicasCode } from "../forwarding/failures.ts";
import type { StartedAnswer } from "../forwarding/forwardAttempt.ts";
import { isStream, isSuccess } from "../forwarding/forwardAttempt.ts";
import type { ForwardRun } from "../forwarding/forwardRun.ts";
import { createStopper } from "../requests/stopper.ts";
import type { Stopper } from "../requests/stopper.ts";
import { maxRelayTargets, noTargetMemory } from "./constants.ts";
import type { RelayCandidate, RelayTargets } from "./relayTargets.ts";

export interface RelayDependencies {
  readonly client: RelayClient;
  readonly targets: RelayTargets;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

export interface RelayOptions {
  readonly lastEventId: string | undefined;
  /** Checked right before the first byte is sent. */
  readonly maySend: () => boolean;
  /** Time after which an attempt is given up because another one may follow, milliseconds; `undefined` for none. */
  readonly timeout: number | undefined;
}

/** Passes requests on. */
export interface Relay {
  /**
   * @returns The answer; `undefined` if no other router takes the request on, so that it has not run at any.
   * @throws `RequestError` with the other router's final refusal, `UpstreamError` where the answer was lost.
   */
  readonly send: (run: ForwardRun, options: RelayOptions) => Promise<StartedAnswer | undefined>;
}

/** Refusals that say something about the request or the replicas: another router would refuse as well. */
const finalCodes: ReadonlySet<string> = new Set([
  "overloaded",
  "replicas_limited",
  "replicas_unavailable",
  "held_back",
  "organisation_limit",
  "not_started",
  refusedByReplicasCode,
]);

const isFinal = ({ failure }: RelayRefusal): boolean =>
  failure.outcome !== outcomes.notRun || finalCodes.has(failure.code);

/** The other router doesn't know whether this one's earlier attempts have run the request. */
const toError = (run: ForwardRun, { message, failure }: RelayRefusal): RequestError =>
  run.mayHaveRun() ? failures.outcomeUnknown(undefined) : requestError(message, failure);

const writeLog = createLogger("relay");

/** Creates the passing on of requests. */
export const createRelay = ({ client, targets, clock, metrics }: RelayDependencies): Relay => {
  /** By service: until when requests are not passed on, since no router took the last one. */
  const unavailableUntil = new Map<string, number>();

  const note = (run: ForwardRun, target: RelayCandidate, outcome: string): void => {
    metrics.count(metricNames.relayed, 1, { outcome });
    writeLog("relayed", { request: run.request.id, router: target.name, outcome });
  };

  const toStarted = async (
    run: ForwardRun,
    { head, body, sentTo }: RelayedAnswer,
    end: () => void,
  ): Promise<StartedAnswer> => {
    run.noteSentTo(sentTo);
    if (!isStream(run.admission) || !isSuccess(head)) {
      const whole = await collectBody(body);
      end();
      return { head, firstChunks: [whole], rest: undefined };
    }
    const rest = body[Symbol.asyncIterator]();
    const first = await rest.next();
    if (first.done === true) {
      end();
      return { head, firstChunks: [], rest: undefined };
    }
    const track = async function* (): AsyncGenerator<Buffer, void> {
      try {
        for (let next = await rest.next(); next.done !== true; next = await rest.next()) yield next.value;
      } finally {
        end();
        await rest.return?.();
      }
    };
    return { head, firstChunks: [first.value], rest: track() };
  };

  /** @returns The answer; the refusal, or `undefined` if the request was not sent, where another router may serve it. */
  const sendTo = async (
    run: ForwardRun,
    target: RelayCandidate,
    { lastEventId, maySend }: RelayOptions,
    stopper: Stopper,
  ): Promise<StartedAnswer | RelayRefusal | undefined> => {
    const end = targets.begin(target);
    const { request, deadline } = run;
    try {
      const answer = await client.send(
        { request, target, deadline, sentTo: [...run.sentTo], lastEventId, maySend },
        stopper.signal,
      );
      if (answer.kind === "answer") {
        note(run, target, "answered");
        return await toStarted(run, answer, end);
      }
      end();
      note(run, target, answer.failure.code);
      if (isFinal(answer)) throw toError(run, answer);
      if (answer.failure.code !== relayCodes.busy) targets.avoid(target);
      return answer;
    } catch (error) {
      end();
      if (!(error instanceof UpstreamError)) throw error;
      note(run, target, error.fault);
      if (error.fault !== "cancelled") targets.avoid(target);
      if (error.progress === "not_sent") return undefined;
      run.noteRelayLost(error);
      throw error;
    }
  };

  return {
    send: async (run, options) => {
      const service = run.admission.service.name;
      if (clock.monotonic() < (unavailableUntil.get(service) ?? Number.NEGATIVE_INFINITY)) return undefined;
      const tried = new Set<string>();
      let busy: RelayRefusal | undefined;
      const stopper = createStopper(run.stopper);
      const stopTimer =
        options.timeout === undefined
          ? undefined
          : clock.after(options.timeout, () => stopper.stop("silent"));
      try {
        while (tried.size < maxRelayTargets && stopper.reason() === undefined) {
          const target = targets.choose(tried);
          if (target === undefined) break;
          tried.add(target.incarnation);
          const answer = await sendTo(run, target, options, stopper);
          if (answer !== undefined && "head" in answer) return answer;
          if (answer?.failure.code === relayCodes.busy) busy = answer;
        }
      } finally {
        stopTimer?.();
      }
      if (busy !== undefined) throw toError(run, busy);
      if (run.stopper.reason() === undefined && options.maySend())
        unavailableUntil.set(service, clock.monotonic() + noTargetMemory);
      return undefined;
    },
  };
};

/** For routers without others. */
export const noRelay: Relay = { send: () => Promise.resolve(undefined) };
