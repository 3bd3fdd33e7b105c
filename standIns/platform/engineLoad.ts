/**
 * The load of a stand-in's engine: prompts are computed one after another, and streams hold memory while they run. The
 * newest streams pause while memory is exceeded, as if the engine had preempted them.
 */
import { setTimeout as sleep } from "node:timers/promises";

/** How fast an engine computes, and how much memory it has. */
export interface EngineLoadSettings {
  /** Prompt tokens computed per millisecond at speed 1. */
  readonly prefillRate: number;
  readonly memoryTokens: number;
  /** Factor of the prefill rate. */
  readonly speed: number;
}

/** The streams of one engine. */
export interface EngineLoad {
  /** Changes the speed, as a factor of the usual one. */
  readonly slowDown: (factor: number) => void;
  /**
   * Admits a stream, and resolves once its prompt is computed.
   *
   * @param tokenCount - Tokens of the prompt and maximum tokens of the answer, `PROMPT,ANSWER`; `undefined` if the
   *   request does not state them.
   */
  readonly admit: (tokenCount: string | undefined) => Promise<AdmittedStream>;
}

/** A stream that holds memory. */
export interface AdmittedStream {
  /**
   * Resolves once the stream may generate its next event.
   *
   * @param isAbandoned - Whether its connection has closed, which ends the wait.
   */
  readonly waitForMemory: (isAbandoned: () => boolean) => Promise<void>;
  readonly release: () => void;
}

/** How often a paused stream checks whether there is room, milliseconds. */
const memoryCheckInterval = 5;

/** Creates an engine without streams. */
export const createEngineLoad = ({ prefillRate, memoryTokens, speed }: EngineLoadSettings): EngineLoad => {
  /** In order of admission. */
  const heldTokens = new Set<{ readonly tokens: number }>();
  let factor = 1;
  let computedUntil = 0;

  const hasRoom = (own: { readonly tokens: number }): boolean => {
    let total = 0;
    for (const held of heldTokens) {
      total += held.tokens;
      if (held === own) return total <= memoryTokens || total === own.tokens;
    }
    return true;
  };

  return {
    slowDown: (slower) => {
      factor = slower;
    },
    admit: async (tokenCount) => {
      const [prompt = 0, answer = 0] = (tokenCount ?? "").split(",").map((text) => Number(text) || 0);
      const held = { tokens: prompt + answer };
      heldTokens.add(held);
      const now = performance.now();
      computedUntil = Math.max(now, computedUntil) + prompt / (prefillRate * speed * factor);
      await sleep(computedUntil - now);
      return {
        waitForMemory: async (isAbandoned) => {
          while (!hasRoom(held) && !isAbandoned()) await sleep(memoryCheckInterval);
        },
        release: () => heldTokens.delete(held),
      };
    },
  };
};
