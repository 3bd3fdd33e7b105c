import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { bounds } from "../../../tests/support/forwardingFixture.ts";
import { findWorstRetryWindow } from "../../../tests/support/retryWindows.ts";
import { createManualClock } from "../manualClock.ts";
import { originTimeout } from "./constants.ts";
import { createReserveShare, createSettledShare } from "./reserveShare.ts";
import { createRetryShare } from "./retryShare.ts";

const evenShare = (routers: number) => createSettledShare(() => routers);

const { retryReserve } = bounds;

describe("a router's share of the retry budget", () => {
  it("keeps the retries of all routers together within the budget in every window", () => {
    const step = fc.record({
      router: fc.nat(5),
      after: fc.nat(400),
      isRequest: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 600 }), (steps) => {
        const clock = createManualClock();
        const routers = 6;
        const shares = Array.from({ length: routers }, () =>
          createRetryShare({ clock, bounds, reserveShare: evenShare(routers) }),
        );
        const requests: number[] = [];
        const retries: number[] = [];
        for (const { router, after, isRequest } of steps) {
          clock.advanceTo(clock.monotonic() + after);
          const share = shares[router];
          if (isRequest) {
            share?.noteRequest("desk");
            requests.push(clock.monotonic());
          }
          if (share?.tryTake("desk") === true) retries.push(clock.monotonic());
        }
        const { count, allowed } = findWorstRetryWindow(requests, retries, bounds);
        expect(count <= allowed).toEqual(true);
      }),
      { seed: 4_711, numRuns: 60 },
    );
  });

  it("shrinks as the number of routers grows", () => {
    const taken = (routers: number): number => {
      const clock = createManualClock();
      const share = createRetryShare({ clock, bounds, reserveShare: evenShare(routers) });
      let count = 0;
      while (share.tryTake("desk")) count += 1;
      return count;
    };
    expect([taken(1), taken(4), taken(80)]).toEqual([52, 13, 0]);
  });

  /** A router of a system in which each has a few retries of the reserve once it is known to be new. */
  const startNewRouter = () => {
    const clock = createManualClock();
    const countRouters = () => retryReserve / 2;
    const reserveShare = createReserveShare({ clock, window: bounds.retryWindow, countRouters });
    const share = createRetryShare({ clock, bounds, reserveShare });
    reserveShare.noteListing(undefined);
    const stop = new AbortController();
    return { clock, reserveShare, share, take: () => share.take("desk", stop.signal), stop };
  };

  // The first retry of each router of a new system was refused, a few milliseconds before it had its part.
  it("waits at a new router until its part of the reserve is known", async () => {
    const { reserveShare, take } = startNewRouter();
    const taken = take();
    reserveShare.noteListing("bootstrap");
    expect(await taken).toEqual(true);
  });

  it("is refused at a new router that joins others, and one that learns nothing in time", async () => {
    const joining = startNewRouter();
    const taken = joining.take();
    joining.reserveShare.noteListing("join");
    expect(await taken).toEqual(false);
    const isolated = startNewRouter();
    const untold = isolated.take();
    isolated.clock.advanceTo(originTimeout);
    expect(await untold).toEqual(false);
  });

  it("takes nothing for a request that has ended meanwhile", async () => {
    const { reserveShare, share, take, stop } = startNewRouter();
    const taken = take();
    stop.abort();
    reserveShare.noteListing("bootstrap");
    expect(await taken).toEqual(false);
    expect(share.stateOf("desk").retries).toEqual(0);
  });
});
