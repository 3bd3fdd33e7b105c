/** Runs a crowd of callers against a router process and observes what becomes of the process and of others. */
import type { HostAndPort } from "../../src/protocol/networkAddress.ts";
import type { BodyForm, CrowdCaller } from "./clientCrowd.ts";
import { openCaller, readProcessUse } from "./clientCrowd.ts";
import { timeUntil } from "./conditions.ts";

/** A router process that a crowd calls. */
export interface CrowdTarget extends AsyncDisposable, HostAndPort {
  readonly processId: number;
  /** @returns The head of a request with a body; a chunked one if no length is announced. */
  readonly headOf: (announced: number | undefined, key?: "known" | "unknown") => string;
  /** Sends an ordinary request. @returns Whether it was answered with success. */
  readonly isServing: () => Promise<boolean>;
}

/** Callers that all do the same. */
export interface Crowd {
  readonly callers: number;
  readonly body: BodyForm;
  /** `known` by default. */
  readonly key?: "known" | "unknown";
}

/** Limits of the VM that the process must stay within. */
export interface VmBounds {
  readonly memoryMegabytes: number;
  readonly descriptors: number;
}

const bytesPerMegabyte = 1_000_000;

/** How long an ordinary caller tries, milliseconds. */
const patience = 60_000;

/** What was seen while the crowd's connections stood open. */
export interface CrowdOutcome {
  readonly isRunning: boolean;
  readonly isWithinMemory: boolean;
  readonly isWithinDescriptors: boolean;
  readonly isServing: boolean;
}

/** The outcome that every crowd must have. */
export const unharmed: CrowdOutcome = {
  isRunning: true,
  isWithinMemory: true,
  isWithinDescriptors: true,
  isServing: true,
};

const observe = async (
  target: CrowdTarget,
  vm: VmBounds,
  report: (text: string) => void,
): Promise<CrowdOutcome> => {
  const standing = readProcessUse(target.processId);
  let isServing = false;
  const triesEnd = async (): Promise<boolean> => {
    isServing = await target.isServing();
    return isServing || readProcessUse(target.processId) === undefined;
  };
  await timeUntil(patience, triesEnd);
  const use = readProcessUse(target.processId);
  const peakMemory = use?.peakMemory ?? Number.POSITIVE_INFINITY;
  // Connections are accepted in order: those of the crowd before the ordinary request's.
  const descriptors = Math.max(standing?.descriptors ?? 0, use?.descriptors ?? Number.POSITIVE_INFINITY);
  report(`peak ${Math.round(peakMemory / bytesPerMegabyte)} MB, ${descriptors} descriptors`);
  return {
    isRunning: use !== undefined,
    isWithinMemory: peakMemory <= vm.memoryMegabytes * bytesPerMegabyte,
    isWithinDescriptors: descriptors <= vm.descriptors,
    isServing,
  };
};

const disposeOfAll = async (callers: readonly CrowdCaller[]): Promise<void> => {
  for (const caller of callers) await caller[Symbol.asyncDispose]();
};

/** Lets a crowd send bodies, and observes the process while the crowd's connections stand open. */
export const sendCrowd = async (
  target: CrowdTarget,
  vm: VmBounds,
  { callers: count, body, key }: Crowd,
  report: (text: string) => void,
): Promise<CrowdOutcome> => {
  const head = target.headOf(body.announced, key);
  const callers = await Promise.all(Array.from({ length: count }, () => openCaller(target, head, body)));
  const outcome = await observe(target, vm, report);
  await disposeOfAll(callers);
  return outcome;
};

/** Opens connections that send only the given texts, in turn, and observes the process. */
export const openCrowd = async (
  target: CrowdTarget,
  vm: VmBounds,
  { callers: count, texts }: { readonly callers: number; readonly texts: readonly string[] },
  report: (text: string) => void,
): Promise<CrowdOutcome> => {
  const callers = await Promise.all(
    Array.from({ length: count }, (_, index) => openCaller(target, texts[index % texts.length] ?? "")),
  );
  const outcome = await observe(target, vm, report);
  await disposeOfAll(callers);
  return outcome;
};

/** Sends one whole body in calm. @returns The status of its answer, and whether the process kept within its memory. */
export const sendInCalm = async (
  target: CrowdTarget,
  vm: VmBounds,
  body: BodyForm,
  report: (text: string) => void,
): Promise<{ readonly status: number; readonly isWithinMemory: boolean }> => {
  await timeUntil(patience, target.isServing);
  const caller = await openCaller(target, target.headOf(body.announced), body);
  const answer = await caller.answered;
  await caller[Symbol.asyncDispose]();
  const peakMemory = readProcessUse(target.processId)?.peakMemory ?? Number.POSITIVE_INFINITY;
  report(`peak ${Math.round(peakMemory / bytesPerMegabyte)} MB`);
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(answer)?.[1] ?? 0);
  return { status, isWithinMemory: peakMemory <= vm.memoryMegabytes * bytesPerMegabyte };
};
