/** A model engine in simulated time with slots, a queue and failure modes. */
import type { Clock } from "../../src/coordination/clock.ts";
import { upstreamError } from "../../src/protocol/errors.ts";
import { ModelEngine } from "../../src/protocol/ModelEngine.ts";
import type { AnswerFrame, EngineAnswer, EngineCall, EngineLoad } from "../../src/protocol/types.ts";
import type { Random } from "../model/random.ts";
import { simulationParameters } from "./constants.ts";

/**
 * State of an engine.
 *
 * - `well`: works normally.
 * - `crashed`: accepts no connections; running requests fail.
 * - `frozen`: accepts requests but never answers them, and sends no load reports.
 * - `breaking`: aborts each answer after its prefill, but reports a normal load.
 */
export type EngineCondition = "well" | "crashed" | "frozen" | "breaking";

const createFrame = (text: string): AnswerFrame => ({
  text,
  extra: undefined,
  finishReason: undefined,
  usage: undefined,
});

const rejectUnsimulated = (): Promise<never> =>
  Promise.reject(upstreamError("not simulated", "failed", "refused"));
const createStreamError = () => upstreamError("broken off", "closed_early", "streaming");

/** One simulated engine. */
export class SimulatedEngine extends ModelEngine {
  condition: EngineCondition = "well";
  /** Requests that reached the engine. */
  calls = 0;
  /** Milliseconds of slot time spent on prefill and decoding. */
  work = 0;
  private readonly clock: Clock;
  private readonly random: Random;
  private running = 0;
  private readonly queue: (() => void)[] = [];

  constructor(clock: Clock, random: Random) {
    super();
    this.clock = clock;
    this.random = random;
  }

  load(): EngineLoad {
    return {
      incarnation: "a",
      model: "records-assistant",
      weightsVersion: "1",
      adapters: [],
      role: "serve",
      running: this.running,
      waiting: this.queue.length,
      pendingPromptTokens: 0,
      cachedTokens: 0,
      leaving: false,
    };
  }

  override complete(call: EngineCall, signal: AbortSignal): Promise<EngineAnswer> {
    if (this.condition === "crashed") return Promise.reject(upstreamError("", "unreachable", "not_sent"));
    this.calls += 1;
    if (this.queue.length >= simulationParameters.waiting) {
      return Promise.reject(upstreamError("", "overloaded", "refused", undefined, 503));
    }
    return Promise.resolve({
      attempt: call.attempt,
      incarnation: "a",
      weightsVersion: "1",
      frames: this.generate(call.delivered.tokens, signal),
    });
  }

  override cancel = (): Promise<void> => Promise.resolve();
  override resume = rejectUnsimulated;
  override readLoad = rejectUnsimulated;
  override readCacheEvents = rejectUnsimulated;
  override order = rejectUnsimulated;

  private async *generate(
    delivered: number,
    signal: AbortSignal,
  ): AsyncGenerator<readonly AnswerFrame[], void, void> {
    await this.takeSlot(signal);
    try {
      const isStraggler = this.random.uniform() < simulationParameters.stragglers;
      await this.occupySlot(
        this.random.integerIn(simulationParameters.prefill) +
          (isStraggler ? simulationParameters.stragglerTime : 0),
        signal,
      );
      if (this.condition === "breaking") throw createStreamError();
      yield [createFrame("first")];
      const rest = Math.max(0, simulationParameters.tokens - delivered - 1);
      await this.occupySlot(rest * simulationParameters.tokenTime, signal);
      yield [
        ...Array.from({ length: rest }, () => createFrame("more")),
        { ...createFrame(""), finishReason: "stop" },
      ];
    } finally {
      this.running -= 1;
      this.queue.shift()?.();
    }
  }

  private async takeSlot(signal: AbortSignal): Promise<void> {
    if (this.running >= simulationParameters.slots) {
      await new Promise<void>((resolve) => {
        this.queue.push(resolve);
        signal.addEventListener("abort", () => {
          const index = this.queue.indexOf(resolve);
          if (index < 0) return;
          this.queue.splice(index, 1);
          resolve();
        });
      });
    }
    this.running += 1;
    if (signal.aborted) throw upstreamError("", "cancelled", "sent");
  }

  private async occupySlot(time: number, signal: AbortSignal): Promise<void> {
    const startedAt = this.clock.monotonic();
    try {
      await this.wait(time, signal);
    } finally {
      this.work += this.clock.monotonic() - startedAt;
    }
  }

  /**
   * Waits for the end of the work: fails if the engine has crashed by then, and settles only on abort if it is
   * frozen.
   */
  private wait(time: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const end = (): void => {
        if (this.condition === "frozen") return;
        if (this.condition === "crashed") reject(createStreamError());
        else resolve();
      };
      const cancelTimer = this.clock.after(time, end);
      signal.addEventListener("abort", () => {
        cancelTimer();
        reject(upstreamError("", "cancelled", "streaming"));
      });
    });
  }
}
