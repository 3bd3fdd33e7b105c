/** Worker thread that runs the policy tasks it receives. */
import { parentPort } from "node:worker_threads";
import { createMixes } from "../model/mixes.ts";
import { policies } from "../policies/policies.ts";
import { runPolicy } from "./runs.ts";
import type { PolicyRuns, RunPlan } from "./runs.ts";

/** A policy to run on a mix. */
export interface PolicyTask {
  readonly mix: string;
  readonly policy: string;
  readonly plan: RunPlan;
}

/** Result of a task; `runs` is `undefined` if the mix or policy is unknown. */
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
  // An error terminates the worker and reaches the main thread as its `error` event.
  void runTask(task);
});
