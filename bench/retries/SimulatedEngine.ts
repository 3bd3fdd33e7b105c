/** A model engine in simulated time: some slots, a queue, and ways to fail. */
import type { Clock } from "../../src/coordination/clock.ts";
import { upstreamError } from "../../src/protocol/errors.ts";
import { ModelEngine } from "../../src/protocol/ModelEngine.ts";
import type { AnswerFrame, EngineAnswer, EngineCall, EngineLoad } from "../../src/protocol/types.ts";
import type { Random } from "../model/random.ts";
import { world } from "./constants.ts";

/**
 * - `crashed`: takes no connection; what ran breaks off.
 * - `frozen`: takes requests and answers none, load reports neither.
 * - `breaking`: breaks off each answer after its prefill, and reports as if it were well.
 */
export type EngineCondition = "well" | "crashed" | "frozen" | "breaking";

const piece = (text: string): AnswerFrame => ({
  text,
  extra: undefined,
  finishReason: undefined,
  usage: undefined,
});

const unused = (): Promise<never> => Promise.reject(upstreamError("not simulated", "failed", "refused"));
const brokenOff = () => upstreamError("broken off", "closed_early", "streaming");

/** One engine. */
export class SimulatedEngine extends ModelEngine {
  condition: EngineCondition = "well";
  /** Requests that reached the engine. */
  calls = 0;
  /** Tokens generated and prompts computed, as milliseconds of a slot. */
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
    if (this.queue.length >= world.waiting) {
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
  override resume = unused;
  override readLoad = unused;
  override readCacheEvents = unused;
  override order = unused;

  private async *generate(
    delivered: number,
    signal: AbortSignal,
  ): AsyncGenerator<readonly AnswerFrame[], void, void> {
    await this.takeSlot(signal);
    try {
      const straggles = this.random.uniform() < world.stragglers;
      await this.spend(this.random.integerIn(world.prefill) + (straggles ? world.stragglerTime : 0), signal);
      if (this.condition === "breaking") throw brokenOff();
      yield [piece("first")];
      const rest = Math.max(0, world.tokens - delivered - 1);
      await this.spend(rest * world.tokenTime, signal);
      yield [...Array.from({ length: rest }, () => piece("more")), { ...piece(""), finishReason: "stop" }];
    } finally {
      this.running -= 1;
      this.queue.shift()?.();
    }
  }

  private async takeSlot(signal: AbortSignal): Promise<void> {
    if (this.running >= world.slots) {
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

  private async spend(time: number, signal: AbortSignal): Promise<void> {
    const startedAt = this.clock.monotonic();
    try {
      await this.wait(time, signal);
    } finally {
      this.work += this.clock.monotonic() - startedAt;
    }
  }

  /** A crash is noticed at once, a freeze never. */
  private wait(time: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const end = (): void => {
        if (this.condition === "frozen") return;
        if (this.condition === "crashed") reject(brokenOff());
        else resolve();
      };
      const callOff = this.clock.after(time, end);
      signal.addEventListener("abort", () => {
        callOff();
        reject(upstreamError("", "cancelled", "streaming"));
      });
    });
  }
}
