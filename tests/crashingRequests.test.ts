/**
 * On the product's own interface as on the users' platform, a request whose content crashes the engine that runs it
 * is remembered nowhere: attempts are counted by request, and the same comes back as another one. The router goes on
 * at the next engine after each crash until the time of the request is over.
 */
import { describe, it } from "node:test";
import { expect } from "earl";
import type { EngineStandIn } from "../standIns/engine/types.ts";
import { streamedQuestion as question } from "./support/eventStream.ts";
import { startLocalSystem } from "./support/localSystem.ts";

/** Crashes after which a request is no more to be run, and runs that may still follow. */
const allowed = { crashes: 3, further: 3 } as const;

const tries = 6;

const crashesOf = async ({ url }: EngineStandIn): Promise<number> => {
  const answer = await fetch(`${url}/stand-in/state`);
  return ((await answer.json()) as { readonly crashes: number }).crashes;
};

describe("a request that crashes the engines that run it, on the product's own interface", () => {
  it("reaches no more than three engines after it has crashed three, sent again by its caller", async (context) => {
    await using system = await startLocalSystem({ engines: 4 });
    for (let turn = 0; turn < tries; turn += 1) {
      // Nothing else is sent: whatever runs is the request that crashes them.
      for (const engine of system.engines) engine.faults.dieAfterTokens = 1;
      const answer = await system.call("/v1/chat/completions", { body: question });
      await answer.text();
    }
    const crashed = (await Promise.all(system.engines.map(crashesOf))).reduce((sum, count) => sum + count, 0);
    context.diagnostic(`${crashed} engines crashed in ${tries} tries of the same request`);
    expect(crashed <= allowed.crashes + allowed.further).toEqual(true);
  });
});
