import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { expect } from "earl";
import { systemClock } from "./clock.ts";
import { withTimeLimit } from "./timeLimit.ts";

const collectGarbage = (): void => {
  setFlagsFromString("--expose-gc");
  (runInNewContext("gc") as () => void)();
};

/** A call that receives no answer and ends only when it is aborted. */
const unanswered = (signal: AbortSignal): Promise<string> =>
  new Promise((resolve) => {
    signal.addEventListener("abort", () => resolve("ended"));
  });

describe("a time limit", () => {
  // Composite abort signals may be garbage collected before they fire; the call then never ends.
  it("aborts calls without an answer even if garbage is collected meanwhile", async () => {
    const parent = new AbortController();
    const limited = (): Promise<string> => withTimeLimit(systemClock, parent.signal, 100, unanswered);
    const calls = Array.from({ length: 50 }, limited);
    for (let round = 0; round < 5; round += 1) {
      collectGarbage();
      await sleep(10);
    }
    expect(new Set(await Promise.all(calls))).toEqual(new Set(["ended"]));
  });

  it("aborts a call when the parent signal aborts", async () => {
    const parent = new AbortController();
    const call = withTimeLimit(systemClock, parent.signal, 60_000, unanswered);
    parent.abort();
    expect(await call).toEqual("ended");
  });
});
