/** One attempt: a request at one replica, from the first byte that leaves until the answer has ended. */
import type { UpstreamError } from "../../protocol/errors.ts";
import { collectBody } from "../../protocol/forwarding/collectBody.ts";
import type { ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import type { AnswerHead, CallerRequest } from "../../protocol/forwarding/types.ts";
import { totalRequests } from "../../state/forwarding/replicaTable.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { ReplicaState } from "../../state/forwarding/replicaTable.ts";
import type { Clock } from "../clock.ts";
import type { AnswerCheck } from "./answerCheck.ts";
import type { CacheHolders } from "./cacheHolders.ts";
import type { PlacementChoice } from "./placement.ts";
import type { ReplicaEstimates } from "./replicaEstimates.ts";
import type { ReplicaHealth } from "./replicaHealth.ts";
import type { Admission } from "./types.ts";

/** What attempts work with. */
export interface ForwardAttemptParts {
  readonly client: ReplicaClient;
  readonly check: AnswerCheck;
  readonly holders: CacheHolders;
  readonly tellHolder: (key: number, replica: string) => void;
  /** A request begins that others must know of at once. */
  readonly onLongPrompt: () => void;
  readonly estimates: ReplicaEstimates;
  readonly health: ReplicaHealth;
  readonly metrics: Metrics;
  readonly clock: Clock;
}

/** What is to be sent. */
export interface AttemptPlan {
  readonly request: CallerRequest;
  readonly admission: Admission;
  readonly choice: PlacementChoice;
  /** When the replica may stop work, milliseconds on the monotonic clock. */
  readonly deadline: number;
  readonly lastEventId: string | undefined;
  readonly mayLeave: () => boolean;
  /** Gives the attempt up for another one; nothing if there can't be another. */
  readonly abandon: (() => void) | undefined;
}

/** An answer that has begun well enough to be passed on. */
export interface BegunAnswer {
  readonly head: AnswerHead;
  /** What has come of the body; the whole of it if there is no `rest`. */
  readonly beginning: readonly Buffer[];
  /** What follows; throws `UpstreamError` where it breaks off. */
  readonly rest: AsyncIterator<Buffer> | undefined;
}

const successStatuses = { first: 200, last: 299 } as const;

/** True for a status of success. */
export const isSuccess = ({ status }: AnswerHead): boolean =>
  status >= successStatuses.first && status <= successStatuses.last;

const isStream = ({ route }: Admission): boolean =>
  route.kind === "eventStream" || route.kind === "resumableEventStream";

/** Counts a request as work of its replica. */
const countWork = (choice: PlacementChoice, now: number, abandon: (() => void) | undefined) => {
  const { replica } = choice;
  const priority = choice.priority ?? 0;
  const tokens = choice.promptTokens;
  let isComputed = false;
  let isCounted = true;
  if (replica.requests === 0) replica.quietSince = now;
  replica.requests += 1;
  if (abandon !== undefined) replica.abandon.add(abandon);
  const addTokens = (count: number): void => {
    replica.promptTokens[priority] = (replica.promptTokens[priority] ?? 0) + count;
  };
  addTokens(tokens);
  const endPrompt = (): void => {
    if (!isComputed) addTokens(-tokens);
    isComputed = true;
  };
  return {
    endPrompt,
    end: (): void => {
      endPrompt();
      if (abandon !== undefined) replica.abandon.delete(abandon);
      if (isCounted) replica.requests -= 1;
      isCounted = false;
    },
  };
};

/** See {@link createForwardAttempt}. */
export type ForwardAttempt = (plan: AttemptPlan, signal: AbortSignal) => Promise<BegunAnswer>;

/**
 * Makes attempts.
 *
 * @returns A function that resolves with an answer that the replica gave to this very request, and throws
 * `UpstreamError` where there is none: its progress tells whether the request may have run.
 */
export const createForwardAttempt = (parts: ForwardAttemptParts): ForwardAttempt => {
  const { client, check, clock, health, estimates, holders } = parts;

  const noteParts = ({ prompt }: CallerRequest, choice: PlacementChoice, isReady: boolean): void => {
    const { cacheSalt: salt, replica } = choice;
    if (prompt === undefined || salt === undefined) return;
    const { id } = replica.entry;
    const key = holders.note(salt, prompt, id, isReady);
    if (key !== undefined) parts.tellHolder(key, id);
  };

  const learnFirstToken = (plan: AttemptPlan, wasIdle: boolean, elapsed: number): void => {
    const { request, admission, choice } = plan;
    if (wasIdle) estimates.learnPrefill(choice.replica.entry.id, choice.promptTokens, elapsed);
    noteParts(request, choice, true);
    parts.metrics.time(metricNames.firstToken, elapsed, { kind: admission.route.kind });
  };

  const judge = (replica: ReplicaState, error: unknown): void => {
    const { fault, progress } = error as UpstreamError;
    if (fault === "cancelled") return;
    // Refusals and connections that break say little of a replica that is merely busy or restarting its socket.
    if (progress === "refused") return;
    health.noteFailure(replica, fault === "unreachable");
  };

  return async (plan, signal) => {
    const { request, admission, choice, deadline } = plan;
    const { replica } = choice;
    const wasIdle = totalRequests(replica) === 0;
    const begunAt = clock.monotonic();
    const work = countWork(choice, begunAt, plan.abandon);
    replica.computedTokens += choice.promptTokens;
    // A peer that doesn't know of it for one interval sends short requests behind it.
    if (choice.outlastsMessages) parts.onLongPrompt();
    // The engine computes prompts in turn: what is sent there after this one will find its parts.
    noteParts(request, choice, false);
    const hear = (): void => {
      replica.quietSince = clock.monotonic();
    };

    const watch = async function* (body: AsyncIterator<Buffer>): AsyncGenerator<Buffer, void> {
      try {
        for (;;) {
          const next = await body.next();
          if (next.done === true) break;
          hear();
          yield next.value;
        }
        health.noteSuccess(replica);
      } catch (error) {
        judge(replica, error);
        throw error;
      } finally {
        work.end();
        await body.return?.();
      }
    };

    const begin = async (): Promise<BegunAnswer> => {
      const answer = await client.send(
        {
          request,
          replica: replica.entry,
          deadline,
          organisation: admission.organisation?.name,
          weightsVersion: choice.weightsVersion,
          cacheSalt: choice.cacheSalt,
          fetchFrom: choice.fetchFrom,
          priority: choice.priority,
          lastEventId: plan.lastEventId,
          mayLeave: plan.mayLeave,
        },
        signal,
      );
      hear();
      await check(answer, request, replica.entry.id);
      if (!isStream(admission) || !isSuccess(answer.head)) {
        const whole = await collectBody(answer.body);
        estimates.learnServiceTime(replica.entry.id, clock.monotonic() - begunAt);
        health.noteSuccess(replica);
        work.end();
        return { head: answer.head, beginning: [whole], rest: undefined };
      }
      const body = answer.body[Symbol.asyncIterator]();
      const first = await body.next();
      hear();
      work.endPrompt();
      if (first.done === true) {
        work.end();
        return { head: answer.head, beginning: [], rest: undefined };
      }
      learnFirstToken(plan, wasIdle, clock.monotonic() - begunAt);
      return { head: answer.head, beginning: [first.value], rest: watch(body) };
    };

    try {
      return await begin();
    } catch (error) {
      judge(replica, error);
      work.end();
      throw error;
    }
  };
};
