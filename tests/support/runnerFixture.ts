/** A completion runner over engines that follow a script, under a test's clock. */
import { createCompletionRunner } from "../../src/coordination/requests/completionRunner.ts";
import type { RetryBudget } from "../../src/coordination/requests/retryBudget.ts";
import type { BindWeights } from "../../src/coordination/weightsBinder.ts";
import { RatioRetryBudget } from "../../src/coordination/requests/retryBudget.ts";
import type { CompletionJob } from "../../src/coordination/requests/types.ts";
import { ClaimLedger } from "../../src/coordination/claims/ClaimLedger.ts";
import type { ClaimResult } from "../../src/coordination/claims/ClaimLedger.ts";
import type { ClassConfiguration } from "../../src/protocol/configuration/schema.ts";
import { RequestError, upstreamError } from "../../src/protocol/errors.ts";
import { ModelEngine } from "../../src/protocol/ModelEngine.ts";
import type { AnswerFrame, EngineAnswer, EngineCall } from "../../src/protocol/types.ts";
import { MemoryMetrics } from "../../src/state/MemoryMetrics.ts";
import { createSchedulingFixture, poolName, settlePromises } from "./schedulingFixture.ts";

/** What an engine does with a call; the pieces come as they are yielded. */
export type EngineScript = (
  call: EngineCall,
  engineId: string,
  signal: AbortSignal,
) => AsyncGenerator<readonly AnswerFrame[], void, void>;

/** A piece with text. */
export const textFrame = (text: string): AnswerFrame => ({
  text,
  extra: undefined,
  finishReason: undefined,
  usage: undefined,
});

/** The piece that ends an answer. */
export const lastFrame: AnswerFrame = { ...textFrame(""), finishReason: "stop" };

/** Never ends by itself. */
export const untilAborted = (signal: AbortSignal): Promise<never> =>
  new Promise((_, reject) => {
    const abort = (): void => reject(upstreamError("cancelled", "cancelled", "sent"));
    if (signal.aborted) abort();
    signal.addEventListener("abort", abort);
  });

const unused = (): Promise<never> => Promise.reject(upstreamError("not scripted", "failed", "refused"));

/** An engine that follows a script, and notes what it is asked. */
class ScriptedEngine extends ModelEngine {
  private readonly id: string;
  private readonly script: EngineScript;
  private readonly notes: { readonly calls: string[]; readonly cancelled: string[] };

  constructor(id: string, script: EngineScript, notes: ScriptedEngine["notes"]) {
    super();
    this.id = id;
    this.script = script;
    this.notes = notes;
  }

  override complete(call: EngineCall, signal: AbortSignal): Promise<EngineAnswer> {
    this.notes.calls.push(this.id);
    const frames = this.script(call, this.id, signal);
    return Promise.resolve({ attempt: call.attempt, incarnation: "a", weightsVersion: "1", frames });
  }

  override cancel(): Promise<void> {
    this.notes.cancelled.push(this.id);
    return Promise.resolve();
  }

  override resume = unused;
  override readLoad = unused;
  override readCacheEvents = unused;
  override order = unused;
}

class NoClaims extends ClaimLedger {
  override acquire(): Promise<ClaimResult> {
    const settled = (): Promise<void> => Promise.resolve();
    const claim = { release: settled, complete: settled, abandon: settled };
    return Promise.resolve({ kind: "claimed", claim });
  }
}

/** How a request ended for its caller. */
export interface CallerResult {
  readonly frames: readonly AnswerFrame[];
  readonly text: string;
  readonly failure: RequestError["failure"] | undefined;
}

/** Makes a fixture. */
export const createRunnerFixture = (
  script: EngineScript,
  classChanges: Partial<ClassConfiguration> = {},
  engines = 3,
  bindWeights?: BindWeights,
) => {
  const scheduling = createSchedulingFixture({ engines });
  const { clock, directory, scheduler, index } = scheduling;
  const notes = { calls: [] as string[], cancelled: [] as string[] };
  const metrics = new MemoryMetrics();
  const retryBudget: RetryBudget = new RatioRetryBudget(clock);
  const runner = createCompletionRunner({
    directory,
    scheduler,
    claims: new NoClaims(),
    metrics,
    clock,
    retryBudget,
    random: () => 0.5,
    ...(bindWeights === undefined ? {} : { bindWeights }),
    connect: ({ id }) => new ScriptedEngine(id, script, notes),
  });

  const createJob = (): CompletionJob => {
    const { context } = scheduling.createWork();
    const requestClass = { ...context.requestClass, retryRatio: 0.2, ...classChanges };
    const messages = [{ role: "user", content: "question" }];
    return {
      context: { ...context, requestClass },
      request: {
        kind: "chat",
        model: poolName,
        adapter: undefined,
        stream: true,
        includeUsage: false,
        maximumTokens: 100,
        body: { messages },
        segments: ["question"],
      },
      index,
    };
  };

  /** Reads a whole answer, or up to its failure. */
  const read = async (signal = new AbortController().signal): Promise<CallerResult> => {
    const pieces: AnswerFrame[] = [];
    let failure: RequestError["failure"] | undefined;
    try {
      const answer = await runner.run(createJob(), signal);
      for await (const batch of answer.batches) pieces.push(...batch.frames);
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      ({ failure } = error);
    }
    return { frames: pieces, text: pieces.map(({ text }) => text).join(""), failure };
  };

  /** Moves the clock on while work is under way; engines report as healthy all the while. */
  const finish = async <T>(work: Promise<T>): Promise<T> => {
    const progress = { ended: false };
    void work.finally(() => (progress.ended = true)).catch(() => undefined);
    for (;;) {
      await settlePromises();
      if (progress.ended) break;
      clock.advanceTo(clock.nextTimer() ?? clock.monotonic() + 1);
      for (const id of scheduling.ids) scheduling.report(id);
    }
    return work;
  };

  return { clock, notes, metrics, retryBudget, read, finish };
};
