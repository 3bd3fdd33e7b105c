import { describe, it } from "node:test";
import { expect } from "earl";
import { createManualClock } from "../manualClock.ts";
import { avoidanceTime, farPenalty } from "./constants.ts";
import type { RelayCandidate } from "./relayTargets.ts";
import { createRelayTargets } from "./relayTargets.ts";

const candidate = (name: string, isNear: boolean): RelayCandidate => ({
  name,
  incarnation: `${name}-1`,
  isNear,
  at: { address: "10.0.0.1", port: 1 },
});

const create = (candidates: readonly RelayCandidate[]) => {
  const clock = createManualClock(1_000);
  const targets = createRelayTargets({ candidates: () => candidates, clock, random: () => 0 });
  const nameOf = (excluded: readonly string[] = []) => targets.choose(new Set(excluded))?.name;
  return { clock, targets, nameOf };
};

describe("the router that a request is passed on to", () => {
  it("is the one with the fewest requests, and of another data centre only if the near ones have more", () => {
    const [near, other, far] = [candidate("a", true), candidate("b", true), candidate("c", false)];
    const { targets, nameOf } = create([far, near, other]);
    expect(nameOf()).toEqual("a");
    const end = targets.begin(near);
    expect(nameOf()).toEqual("b");
    end();
    end();
    expect(nameOf()).toEqual("a");
    for (let count = 0; count <= farPenalty; count += 1) [near, other].forEach(targets.begin);
    expect(nameOf()).toEqual("c");
  });

  it("is none that was tried, and one that failed a moment ago only if there is no other", () => {
    const [first, second] = [candidate("a", true), candidate("b", true)];
    const { clock, targets, nameOf } = create([first, second]);
    targets.avoid(first);
    expect([nameOf(), nameOf(["b-1"]), nameOf(["a-1", "b-1"])]).toEqual(["b", "a", undefined]);
    clock.advanceTo(clock.monotonic() + avoidanceTime);
    expect(nameOf()).toEqual("a");
  });
});
