/** What servers for callers need beside their subject under test. */
import { createBodyMemory } from "../../src/state/bodyMemory.ts";
import { MemoryMetrics } from "../../src/state/MemoryMetrics.ts";
import { steadyNow } from "../../src/state/steadyTime.ts";
import { createRequestIntake } from "../../src/transport/requestIntake.ts";

const bounds = {
  largeBytes: 16_777_216,
  totalBytes: 20_971_520,
  ownerBytes: 8_388_608,
  idleTimeout: 15_000,
} as const;

/** Creates an intake whose bounds no ordinary request meets. */
export const createTestIntake = () => {
  const metrics = new MemoryMetrics();
  return createRequestIntake(
    createBodyMemory(() => bounds, metrics, steadyNow),
    metrics,
  );
};
