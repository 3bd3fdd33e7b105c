/**
 * Questions that have one level of their prompt in common crash the engine that answers them, on the product's own
 * interface. Each has a content of its own, so that a count by content stays at one.
 */
import { describe, it } from "node:test";
import { expect } from "earl";
import { streamedRequest } from "./support/eventStream.ts";
import { countCrashes, setCrashing } from "./support/engineCrashes.ts";
import type { LocalSystem } from "./support/localSystem.ts";
import { startLocalSystem } from "./support/localSystem.ts";

/** Crashes that decide, and requests that may still reach an engine. */
const allowed = { crashes: 5, further: 3 } as const;

const questions = 14;

const askWith = (rules: string, question: string) => ({
  ...streamedRequest,
  messages: [
    { role: "system", content: rules },
    { role: "user", content: question },
  ],
});

const ask = async (system: LocalSystem, router: number, body: unknown): Promise<number> => {
  const answer = await system.call("/v1/chat/completions", { router, body });
  await answer.text();
  return answer.status;
};

describe("a prompt level that crashes the engines that answer on it, on the product's own interface", () => {
  it("reaches a bounded number of engines through any router, and other rules are still answered", async (context) => {
    await using system = await startLocalSystem({ engines: 4, routers: 3 });
    expect(await ask(system, 0, askWith("Rules of another season.", "Who flies today?"))).toEqual(200);
    for (let number = 0; number < questions; number += 1) {
      setCrashing(system, true);
      await ask(system, number % 3, askWith("Rules that crash.", `Who flies on day ${number}?`));
    }
    setCrashing(system, false);
    const crashes = await countCrashes(system);
    context.diagnostic(`${crashes} engines crashed in ${questions} questions`);
    expect(crashes > 0 && crashes <= allowed.crashes + allowed.further).toEqual(true);
    for (let router = 0; router < 3; router += 1)
      expect(
        await ask(system, router, askWith("Rules of another season.", `Who lands at ${router}?`)),
      ).toEqual(200);
  });
});
