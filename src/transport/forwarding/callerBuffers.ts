/** Measures what the answers to callers hold in memory, and enforces the bound over all of them. */
import type { ServerResponse } from "node:http";
import type { UnreadAnswer } from "../../state/forwarding/callerMemory.ts";
import { decideCallerMemory } from "../../state/forwarding/callerMemory.ts";
import { metricNames } from "../../state/constants.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import { steadyNow } from "../../state/steadyTime.ts";
import { breakOff } from "./breakOff.ts";

/** Between two checks of the bound, milliseconds. In between, a stream adds at most what one write buffers. */
const checkInterval = 250;

const writeLog = createLogger("callers");

export interface CallerBuffersDependencies {
  /** Bytes for all callers together; 0 for no bound. */
  readonly bound: number;
  readonly metrics: Metrics;
}

/** The answer to one caller. */
export interface CallerBuffer {
  /** Notes bytes that were handed to the response. */
  readonly noteWritten: (bytes: number) => void;
  /** Resolves when more may be read from the replica, or the connection has closed. */
  readonly mayContinue: () => Promise<void>;
}

export interface CallerBuffers {
  /** @returns Whether a new request has to be refused. */
  readonly mustRefuse: () => boolean;
  /** Counts an answer until its connection closes or it is finished. */
  readonly track: (response: ServerResponse) => CallerBuffer;
  readonly stop: () => void;
}

interface TrackedAnswer extends UnreadAnswer {
  readonly response: ServerResponse;
  written: number;
  /** The most bytes that the caller's connection has taken so far. */
  read: number;
  bufferedBytes: number;
  lastReadAt: number;
  resume: (() => void) | undefined;
}

const unboundedBuffer: CallerBuffer = {
  noteWritten: () => undefined,
  mayContinue: () => Promise.resolve(),
};

/** Does nothing: the memory of answers is unbounded. */
const unboundedBuffers: CallerBuffers = {
  mustRefuse: () => false,
  track: () => unboundedBuffer,
  stop: () => undefined,
};

const measure = (answer: TrackedAnswer, now: number): void => {
  answer.bufferedBytes = answer.response.writableLength;
  const read = answer.written - answer.bufferedBytes;
  if (read > answer.read || answer.bufferedBytes === 0) answer.lastReadAt = now;
  answer.read = Math.max(answer.read, read);
};

/** Starts to check the bound periodically, if there is one. */
export const createCallerBuffers = ({ bound, metrics }: CallerBuffersDependencies): CallerBuffers => {
  if (bound === 0) return unboundedBuffers;
  const answers = new Set<TrackedAnswer>();
  let stopped: ReadonlySet<TrackedAnswer> = new Set();
  let exceededSince: number | undefined;

  const noteExceeded = (isExceeded: boolean, bufferedBytes: number, now: number): void => {
    if (isExceeded === (exceededSince !== undefined)) return;
    if (exceededSince === undefined)
      writeLog("memory_exceeded", { bufferedBytes, bound, answers: answers.size });
    else writeLog("memory_regained", { bufferedBytes, milliseconds: Math.round(now - exceededSince) });
    exceededSince = isExceeded ? now : undefined;
  };

  const cutOff = ({ response, bufferedBytes, lastReadAt }: TrackedAnswer, now: number): void => {
    writeLog("cut_off", { bufferedBytes, milliseconds: Math.round(now - lastReadAt) });
    metrics.count(metricNames.callersCutOff);
    breakOff(response);
  };

  const resumeAll = (): void => {
    for (const answer of answers) {
      if (stopped.has(answer)) continue;
      answer.resume?.();
      answer.resume = undefined;
    }
  };

  /** @returns Whether the bound remains exceeded. */
  const check = (): boolean => {
    const now = steadyNow();
    for (const answer of answers) measure(answer, now);
    const decision = decideCallerMemory([...answers], bound, now);
    stopped = decision.stopped;
    noteExceeded(decision.refuses, decision.bufferedBytes, now);
    for (const answer of decision.cutOff) cutOff(answer, now);
    resumeAll();
    return decision.refuses;
  };
  const timer = setInterval(check, checkInterval);

  const waitUntilResumed = (answer: TrackedAnswer): Promise<void> => {
    metrics.count(metricNames.callerReadsStopped);
    return new Promise((resolve) => {
      answer.resume = resolve;
    });
  };

  const track = (response: ServerResponse): CallerBuffer => {
    const answer: TrackedAnswer = {
      response,
      written: 0,
      read: 0,
      bufferedBytes: 0,
      lastReadAt: steadyNow(),
      resume: undefined,
    };
    answers.add(answer);
    response.once("close", () => {
      answers.delete(answer);
      answer.resume?.();
    });
    return {
      noteWritten: (bytes) => {
        answer.written += bytes;
      },
      mayContinue: () =>
        stopped.has(answer) && !response.destroyed ? waitUntilResumed(answer) : Promise.resolve(),
    };
  };

  return {
    mustRefuse: () => {
      // Measures all answers only if the last check found too many bytes: each request would pay for it otherwise.
      const refuses = exceededSince !== undefined && check();
      if (refuses) metrics.count(metricNames.callerMemoryRefusals);
      return refuses;
    },
    track,
    stop: () => clearInterval(timer),
  };
};
