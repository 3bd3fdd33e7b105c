/** `npm run bench -- NAME [--json] [--seeds 1,2,3] [--quick] [--write] [--only A,B]`: runs one bench. */
import { admissionBench } from "./admission/admission.ts";
import { attributionBench } from "./attribution/attribution.ts";
import { claimsBench } from "./claims/claims.ts";
import { membershipBench } from "./membership.ts";
import { ownersBench } from "./owners/owners.ts";
import { parseBenchCommand } from "./options.ts";
import { placementBench } from "./placement/placement.ts";
import { registryBench } from "./registry/registry.ts";
import { relayBench } from "./relay/relay.ts";
import { restartBench } from "./restart.ts";
import { retryBudgetBench } from "./retryBudget/retryBudget.ts";
import { retriesBench } from "./retries/retries.ts";
import { routerBench } from "./router/router.ts";
import { slopesBench } from "./slopes/slopes.ts";
import { storeCallsBench } from "./storeCalls/storeCalls.ts";
import { storeEpochsBench } from "./storeEpochs/storeEpochs.ts";
import type { Bench } from "./types.ts";

/** Every bench, in the order of the printed list. New benches are added here. */
const benches: readonly Bench[] = [
  placementBench,
  admissionBench,
  slopesBench,
  relayBench,
  claimsBench,
  retriesBench,
  retryBudgetBench,
  membershipBench,
  restartBench,
  ownersBench,
  routerBench,
  storeEpochsBench,
  registryBench,
  storeCallsBench,
  attributionBench,
];

const list = (): string =>
  ["Benches (npm run bench -- NAME [--json] [--seeds 1,2,3] [--quick] [--write] [--only A,B]):"]
    .concat(benches.map(({ name, summary }) => `  ${name.padEnd(12)} ${summary}`))
    .join("\n");

const command = parseBenchCommand(process.argv.slice(2));
const bench = benches.find(({ name }) => name === command.name);

if (bench === undefined) {
  console.log(list());
  process.exitCode = command.name === undefined ? 0 : 1;
} else {
  await bench.run(command.options);
}
