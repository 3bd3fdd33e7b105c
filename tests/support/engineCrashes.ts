/** Crashes of the engines of a local system. */
import type { EngineStandIn } from "../../standIns/engine/types.ts";
import type { LocalSystem } from "./localSystem.ts";

const fetchCrashCount = async ({ url }: EngineStandIn): Promise<number> => {
  const answer = await fetch(`${url}/stand-in/state`);
  return ((await answer.json()) as { readonly crashes: number }).crashes;
};

/** @returns The number of times that engines have crashed. */
export const countCrashes = async ({ engines }: LocalSystem): Promise<number> =>
  (await Promise.all(engines.map(fetchCrashCount))).reduce((sum, count) => sum + count, 0);

/** Makes every engine crash after the first token of its next answer, or stops that. */
export const setCrashing = ({ engines }: LocalSystem, isCrashing: boolean): void => {
  for (const { faults } of engines) faults.dieAfterTokens = isCrashing ? 1 : null;
};
