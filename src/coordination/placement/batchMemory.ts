/**
 * Decides where a request finds enough engine memory for its batch.
 *
 * Handles long prompts that fill the memory of an engine: a prompt's tokens stay in memory until its answer ends, and
 * packing long prompts onto few replicas concentrates them. An engine that runs out of memory preempts the newest of
 * its least urgent streams in mid-answer, which pauses for over 400 ms and is computed again.
 *
 * Only running requests reserve memory: an engine evicts cached parts that no running request uses.
 */
import type { Prompt } from "../../protocol/forwarding/types.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { reservedTokensAt } from "../../state/forwarding/replicaState.ts";
import {
  answerHintMargin,
  assumedHoldTime,
  cachedPartShare,
  preemptionCost,
  smoothingFactor,
  unhintedAnswerShare,
  usableMemoryShare,
} from "./memoryConstants.ts";

export interface BatchMemory {
  /**
   * @param cachedTokens - Tokens of the prompt's shared parts that the replica caches or is computing for others.
   * @returns The memory tokens that the request holds or will need at the replica until its answer ends.
   */
  readonly reservationOf: (prompt: Prompt, cachedTokens: number) => number;
  /**
   * @param needed - The request's own reservation there, tokens.
   * @param memoryTokens - Tokens that the engine's memory holds.
   * @returns Cost of the memory that the replica lacks for the request, milliseconds; 0 if it has room.
   */
  readonly costAt: (replica: ReplicaState, needed: number, memoryTokens: number) => number;
  /** Records how long a request held memory at a replica of the service, milliseconds. */
  readonly noteHeld: (service: string, milliseconds: number) => void;
}

/** @returns The tokens to reserve for the answer. A caller that states neither a hint nor a maximum reserves none. */
export const expectedAnswer = ({ answerTokens: maximum, expectedAnswerTokens: hint }: Prompt): number => {
  if (hint === undefined) return maximum * unhintedAnswerShare;
  return maximum > 0 ? Math.min(maximum, hint * answerHintMargin) : hint * answerHintMargin;
};

/** Creates the decision of one router, with assumed times until requests have ended. */
export const createBatchMemory = (): BatchMemory => {
  /** By service: the average time for which requests hold memory, milliseconds. */
  const holdTimes = new Map<string, number>();

  const holdTimeOf = (service: string): number => holdTimes.get(service) ?? assumedHoldTime;

  return {
    reservationOf: (prompt, cachedTokens) =>
      prompt.tokens - cachedTokens * (1 - cachedPartShare) + expectedAnswer(prompt),
    costAt: (replica, needed, memoryTokens) => {
      const excess = reservedTokensAt(replica) + needed - memoryTokens * usableMemoryShare;
      // Running requests end evenly over their hold time, so a full memory is released at memory / hold time.
      return excess <= 0 ? 0 : preemptionCost + (holdTimeOf(replica.entry.service) * excess) / memoryTokens;
    },
    noteHeld: (service, milliseconds) => {
      const before = holdTimeOf(service);
      holdTimes.set(service, before + (milliseconds - before) * smoothingFactor);
    },
  };
};
