/** A thread that runs one policy after another, as it is told. */
import { parentPort } from "node:worker_threads";
import { createMixes } from "../model/mixes.ts";
import { policies } from "../policies/policies.ts";
import { runPolicy } from "./runs.ts";
import type { PolicyRuns, RunPlan } from "./runs.ts";

/** One policy on one mix. */
export interface PolicyTask {
  readonly mix: string;
  readonly policy: string;
  readonly plan: RunPlan;
}

/** What came of a task. */
export interface PolicyTaskResult {
  readonly runs: PolicyRuns | undefined;
}

const mixes = createMixes();

const runTask = async ({ mix, policy, plan }: PolicyTask): Promise<void> => {
  const foundMix = mixes.find(({ name }) => name === mix);
  const foundPolicy = policies.find(({ name }) => name === policy);
  const known = foundMix !== undefined && foundPolicy !== undefined;
  const runs = known ? await runPolicy(foundMix, foundPolicy, plan) : undefined;
  const result: PolicyTaskResult = { runs };
  parentPort?.postMessage(result);
};

parentPort?.on("message", (task: PolicyTask) => {
  // A failure ends the thread, and the main thread is told.
  void runTask(task);
});
