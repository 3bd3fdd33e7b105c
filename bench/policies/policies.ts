/** The policies that the benches compare. */
import { consistentHashPolicy } from "./consistentHash.ts";
import { leastLoadedPolicy } from "./leastLoaded.ts";
import { omniscientPolicy } from "./omniscient.ts";
import { oursPolicy } from "./ours.ts";
import type { Policy } from "./Policy.ts";
import { prefixTreePolicy } from "./prefixTree.ts";
import { randomPolicy } from "./random.ts";

/** Names of the policies that expected figures compare. */
export const policyNames = {
  ours: oursPolicy.name,
  leastLoaded: leastLoadedPolicy.name,
  omniscient: omniscientPolicy.name,
} as const;

/** In the order of the tables: baselines, ours, the bound. */
export const policies: readonly Policy[] = [
  randomPolicy,
  leastLoadedPolicy,
  consistentHashPolicy,
  prefixTreePolicy,
  oursPolicy,
  omniscientPolicy,
];
