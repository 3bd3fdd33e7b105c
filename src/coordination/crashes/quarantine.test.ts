import { describe, it } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { expect } from "earl";
import { createQuarantineRouters, requestOf } from "../../../tests/support/quarantineRouters.ts";
import {
  crashNewsGathering,
  differenceDelays,
  differenceTime,
  mostCrashes,
  mostTrials,
  quarantineTime,
  settleTime,
  trialDelays,
} from "./constants.ts";
import { positionAt } from "../../../tests/support/positions.ts";

/** The users' bound: a router in touch knows of what crashed three replicas within it, milliseconds. */
const contactTime = 3_000;

/** Time in which what one router tells reaches all. */
const spread = settleTime + 50;

const deadly = "deadly";

/** A quarter of the 32 MB that all of a router's control may take at the target size, megabytes. */
const mostGrowth = 8;

const collectGarbage = (): void => {
  setFlagsFromString("--expose-gc");
  (runInNewContext("gc") as () => void)();
};

/** The same request crashes as many replicas as hold it back, each at another router. */
const crashThree = async (
  routers: ReturnType<typeof createQuarantineRouters>,
  bodies: readonly string[] = [deadly],
  begun: readonly string[] = [],
): Promise<void> => {
  for (let crash = 0; crash < mostCrashes; crash += 1) {
    routers.crash(crash % routers.routers.length, `replica-${crash}`, bodies, begun);
    await routers.advance(20);
  }
  await routers.advance(spread);
};

describe("a request that crashes replicas", () => {
  it("is held back by all routers once it has crashed three, wherever each crash was seen", async () => {
    const routers = createQuarantineRouters(4);
    routers.crash(0, "a", [deadly]);
    routers.crash(1, "b", [deadly]);
    await routers.advance(spread);
    expect(routers.heldAt(deadly)).toEqual([]);
    routers.crash(2, "c", [deadly]);
    await routers.advance(spread);
    expect(routers.heldAt(deadly)).toEqual([1, 2, 3, 4]);
  });

  it("is sent to none from the third crash on, also before it is decided which request was the cause", async () => {
    const routers = createQuarantineRouters(2);
    for (const replica of ["a", "b", "c"]) routers.crash(0, replica, [deadly]);
    expect(routers.heldAt(deadly)).toEqual([1]);
    await routers.advance(crashNewsGathering + 10);
    expect(routers.heldAt(deadly)).toEqual([1, 2]);
  });

  it("counts a crash once, however many routers and copies were there, and whatever comes twice", async () => {
    const routers = createQuarantineRouters(4);
    for (let index = 0; index < 4; index += 1) routers.crash(index, "a", [deadly, deadly]);
    routers.crash(0, "b", [deadly]);
    await routers.advance(2_000);
    expect(routers.heldAt(deadly)).toEqual([]);
  });

  it("is held back by all although each first datagram is lost", async () => {
    const routers = createQuarantineRouters(3);
    for (const replica of ["a", "b", "c"]) {
      routers.crash(0, replica, [deadly]);
      routers.network.isDown = true;
      await routers.advance(crashNewsGathering + 10);
      routers.network.isDown = false;
    }
    expect(routers.heldAt(deadly)).toEqual([1]);
    await routers.advance(1_000);
    expect(routers.heldAt(deadly)).toEqual([1, 2, 3]);
  });

  it("is told when to come back, at once", async () => {
    const routers = createQuarantineRouters(2);
    await crashThree(routers);
    const before = routers.clock.monotonic();
    const { wait } = await routers.ask(0, deadly);
    expect(routers.clock.monotonic() - before <= 20).toEqual(true);
    expect(wait !== undefined && wait > 0 && wait <= trialDelays.first).toEqual(true);
  });

  it("is sent again once it has been held back for its time", async () => {
    const routers = createQuarantineRouters(1);
    await crashThree(routers);
    routers.clock.advanceTo(routers.clock.monotonic() + quarantineTime);
    await routers.advance(2_500);
    expect(routers.heldAt(deadly)).toEqual([]);
    expect(routers.records.log.at(-1)?.value).toEqual(undefined);
  });
});

describe("requests that were beside one that crashes replicas", () => {
  it("are cleared by their next answer, at whatever router, if they are popular", async () => {
    const routers = createQuarantineRouters(4);
    for (let crash = 0; crash < 20; crash += 1) {
      routers.crash(crash % 4, `replica-${crash}`, ["popular"]);
      await routers.advance(30);
      if (crash % 2 === 1) routers.at((crash + 1) % 4).quarantine.noteAnswered(requestOf("popular"));
      await routers.advance(30);
    }
    expect(routers.heldAt("popular")).toEqual([]);
  });

  it("are not held back for crashes that have another cause, though they were at all of them", async () => {
    const routers = createQuarantineRouters(4);
    await crashThree(routers, ["stream", deadly], ["stream"]);
    expect([routers.heldAt("stream"), routers.heldAt(deadly)]).toEqual([[], [1, 2, 3, 4]]);
  });

  it("come back by one trial if they were held back by chance; the cause is held back then", async () => {
    const routers = createQuarantineRouters(4);
    // Nothing tells them apart, and the first one named is taken for the cause.
    await crashThree(routers, ["popular", deadly]);
    expect([routers.heldAt("popular"), routers.heldAt(deadly)]).toEqual([[1, 2, 3, 4], []]);
    await routers.advance(trialDelays.first);
    const { request, wait } = await routers.ask(3, "popular");
    expect(wait).toEqual(undefined);
    expect(routers.at(3).quarantine.isQuarantined(request)).toEqual(false);
    expect(routers.heldAt("popular")).toEqual([1, 2, 3, 4]);
    routers.at(3).quarantine.noteAnswered(request);
    await routers.advance(spread);
    expect(routers.heldAt("popular")).toEqual([]);
    routers.crash(0, "next", [deadly]);
    await routers.advance(spread);
    expect(routers.heldAt(deadly)).toEqual([1, 2, 3, 4]);
    expect(routers.records.log.at(-1)?.key === undefined).toEqual(false);
  });
});

describe("two requests that crash replicas at once", () => {
  it("are both held back, the second at the next crash where the first is not", async () => {
    const routers = createQuarantineRouters(3);
    await crashThree(routers, [deadly, "deadly too"]);
    expect([routers.heldAt(deadly), routers.heldAt("deadly too")]).toEqual([[1, 2, 3], []]);
    routers.crash(1, "next", ["deadly too"]);
    await routers.advance(spread);
    expect(routers.heldAt("deadly too")).toEqual([1, 2, 3]);
  });

  it("are both held back at their third crash where each has replicas of its own", async () => {
    const routers = createQuarantineRouters(3);
    for (let crash = 0; crash < mostCrashes; crash += 1) {
      routers.crash(0, `a-${crash}`, [deadly]);
      routers.crash(1, `b-${crash}`, ["deadly too"]);
    }
    await routers.advance(spread);
    expect([routers.heldAt(deadly), routers.heldAt("deadly too")]).toEqual([
      [1, 2, 3],
      [1, 2, 3],
    ]);
  });
});

describe("trials of a request that is held back", () => {
  it("are made by one router of all, and so many in all", async () => {
    const routers = createQuarantineRouters(4);
    await crashThree(routers);
    let trials = 0;
    for (let turn = 0; turn < 40; turn += 1) {
      await routers.advance(trialDelays.next / 8);
      const asked = await Promise.all([0, 1, 2, 3].map((index) => routers.ask(index, deadly)));
      const passed = asked.findIndex(({ wait }) => wait === undefined);
      if (passed < 0) continue;
      expect(asked.filter(({ wait }) => wait === undefined).length).toEqual(1);
      trials += 1;
      const request = asked[passed]?.request ?? requestOf(deadly);
      routers.at(passed).quarantine.noteFailed(request);
      expect(routers.at(passed).quarantine.isQuarantined(request)).toEqual(true);
      routers.crash(passed, `trial-${trials}`, [deadly]);
    }
    expect(trials).toEqual(mostTrials);
  });

  it("are no more after a restart of all routers, where both were made", async () => {
    const routers = createQuarantineRouters(2);
    await crashThree(routers);
    for (const delay of [trialDelays.first, trialDelays.next]) {
      await routers.advance(delay);
      const { request, wait } = await routers.ask(0, deadly);
      expect(wait).toEqual(undefined);
      routers.at(0).quarantine.noteFailed(request);
    }
    for (const router of [...routers.routers]) await routers.stop(router);
    routers.start(3);
    await routers.advance(trialDelays.next * 2);
    expect(((await routers.ask(0, deadly)).wait ?? 0) > trialDelays.next).toEqual(true);
  });

  it("are not made while the store can't say whose they are", async () => {
    const routers = createQuarantineRouters(2);
    await crashThree(routers);
    routers.records.cutOff.add(1).add(2);
    await routers.advance(trialDelays.first);
    expect(((await routers.ask(0, deadly)).wait ?? 0) > 0).toEqual(true);
  });
});

describe("routers that did not see the crashes", () => {
  it("hold it back from their start on, whether they start later or all start again together", async () => {
    const routers = createQuarantineRouters(3);
    await crashThree(routers);
    const later = routers.start(4);
    await routers.advance(20);
    expect([later.quarantine.isReady(), routers.heldAt(deadly)]).toEqual([true, [1, 2, 3, 4]]);
    for (const router of [...routers.routers]) await routers.stop(router);
    for (let port = 5; port <= 7; port += 1) routers.start(port);
    await routers.advance(20);
    expect(routers.heldAt(deadly)).toEqual([5, 6, 7]);
  });

  it("don't serve before they know, but wait no longer for the store than a moment", async () => {
    const routers = createQuarantineRouters(1);
    routers.records.cutOff.add(2);
    const later = routers.start(2);
    await routers.advance(100);
    expect(later.quarantine.isReady()).toEqual(false);
    await routers.advance(1_000);
    expect(later.quarantine.isReady()).toEqual(true);
  });

  it("hold it back in time after a data centre was cut off from the rest and from the store", async () => {
    const routers = createQuarantineRouters(6);
    await routers.advance(100);
    for (const port of [5, 6]) {
      routers.apart.add(port);
      routers.records.cutOff.add(port);
    }
    await crashThree(routers);
    expect(routers.heldAt(deadly)).toEqual([1, 2, 3, 4]);
    await routers.advance(20_000);
    routers.apart.clear();
    routers.records.cutOff.clear();
    await routers.advance(contactTime);
    expect(routers.heldAt(deadly)).toEqual([1, 2, 3, 4, 5, 6]);
  });

  it("hold back what a data centre that is cut off has found out, once it is back", async () => {
    const routers = createQuarantineRouters(6);
    for (const port of [1, 2]) {
      routers.apart.add(port);
      routers.records.cutOff.add(port);
    }
    for (const replica of ["a", "b", "c"]) routers.crash(0, replica, [deadly]);
    await routers.advance(10_000);
    expect(routers.heldAt(deadly)).toEqual([1, 2]);
    routers.apart.clear();
    routers.records.cutOff.clear();
    await routers.advance(contactTime);
    expect(routers.heldAt(deadly)).toEqual([1, 2, 3, 4, 5, 6]);
  });

  it("release it all once its record was dropped by hand and one router was started again", async () => {
    const routers = createQuarantineRouters(3);
    await crashThree(routers);
    const [{ key }] = [...routers.records.log.slice(-1), { key: "" }];
    routers.records.log.push({ position: positionAt(routers.records.log.length), key, value: undefined });
    await routers.stop(routers.at(2));
    routers.start(4);
    await routers.advance(contactTime);
    expect(routers.heldAt(deadly)).toEqual([]);
  });

  it("read the store no oftener than now and then where a difference stays", async () => {
    const routers = createQuarantineRouters(3);
    routers.records.cutOff.add(1);
    for (const replica of ["a", "b", "c"]) routers.at(0).quarantine.noteCrash({ replica, suspects: [] });
    await routers.advance(differenceTime);
    const before = routers.records.reads;
    routers.at(1).quarantine.notePeerDigest(7);
    await routers.advance(60_000);
    // Each read of a feed is two calls at most here.
    expect(routers.records.reads - before <= 2 * (60_000 / differenceDelays.first)).toEqual(true);
  });
});

describe("what routers tell one another of crashes", () => {
  it("is told and recorded by those alone that had the request in flight", async (context) => {
    const routers = createQuarantineRouters(20);
    await routers.advance(1_000);
    const before = routers.network.sent;
    for (const replica of ["a", "b", "c"]) routers.crash(0, replica, [deadly]);
    await routers.advance(10_000);
    const each = (routers.network.sent - before) / 19;
    context.diagnostic(
      `${each.toFixed(1)} datagrams to each other router, ${routers.records.log.length} records`,
    );
    expect(routers.heldAt(deadly).length).toEqual(20);
    // Crashes and what was decided, each sent twice.
    expect([each, routers.records.log.length]).toEqual([4, 1]);
  });

  it("grows with the routers, not with the replicas that go at once", async (context) => {
    const routers = createQuarantineRouters(20);
    await routers.advance(1_000);
    const before = routers.network.sent;
    for (let index = 0; index < 20; index += 1) {
      for (let replica = 0; replica < 20; replica += 1) {
        routers.crash(index, `replica-${replica}`, [`asked-${index}-${replica}`, "popular"]);
      }
    }
    await routers.advance(10);
    for (const { quarantine } of routers.routers) quarantine.noteAnswered(requestOf("popular"));
    await routers.advance(1_000);
    const each = (routers.network.sent - before) / 20 / 19;
    context.diagnostic(
      `20 replicas crash with requests of 20 routers: ${each.toFixed(1)} datagrams to each of the others`,
    );
    // Two of crashes, each sent twice; of the answer one in all, and what crosses it on the way.
    expect(each <= 5).toEqual(true);
    expect(routers.heldAt("popular")).toEqual([]);
  });
});

describe("a quarantine whose store returns from an older copy", () => {
  const recordsOf = (routers: ReturnType<typeof createQuarantineRouters>): readonly string[] => {
    const newest = new Map(routers.records.log.map(({ key, value }) => [key, value]));
    return [...newest].filter(([, value]) => value !== undefined).map(([key]) => key);
  };

  // Routers took the record for written, and the store's new list for a release.
  it("keeps what it quarantines, and records it again", async () => {
    const routers = createQuarantineRouters(4);
    await crashThree(routers);
    await routers.advance(contactTime * 4);
    expect(recordsOf(routers).length).toEqual(1);
    routers.returnStore(0);
    await routers.advance(contactTime * 2);
    expect(routers.heldAt(deadly)).toEqual([1, 2, 3, 4]);
    expect(recordsOf(routers).length).toEqual(1);
    routers.start(5);
    await routers.advance(contactTime);
    expect(routers.heldAt(deadly)).toEqual([1, 2, 3, 4, 5]);
  });

  // The copy lists a request again that was answered since.
  it("doesn't quarantine again what was released", async () => {
    const routers = createQuarantineRouters(4);
    await crashThree(routers);
    await routers.advance(contactTime);
    const length = routers.records.log.length;
    routers.at(1).quarantine.noteAnswered(requestOf(deadly));
    await routers.advance(contactTime);
    expect(recordsOf(routers)).toEqual([]);
    routers.returnStore(length);
    await routers.advance(contactTime * 2);
    expect(routers.heldAt(deadly)).toEqual([]);
    routers.crash(0, "other", ["another"]);
    routers.start(5);
    await routers.advance(contactTime * 4);
    expect(recordsOf(routers)).toEqual([]);
    expect(routers.heldAt(deadly).filter((port) => port !== 5)).toEqual([]);
  });
});

describe("memory of crashes", () => {
  it("stays bounded under many distinct requests, and a cause among them is found", async (context) => {
    const routers = createQuarantineRouters(1);
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    for (let crash = 0; crash < 2_000; crash += 1) {
      const bodies = Array.from({ length: 60 }, (_, index) => `once-${crash}-${index}`);
      routers.crash(0, `replica-${crash}`, [...bodies, ...(crash > 1_996 ? [deadly] : [])]);
    }
    await routers.advance(spread);
    collectGarbage();
    const grown = (process.memoryUsage().heapUsed - before) / 1_048_576;
    context.diagnostic(`120,000 distinct requests at 2,000 crashes: ${grown.toFixed(1)} MB more on the heap`);
    expect(routers.heldAt(deadly)).toEqual([1]);
    expect(grown < mostGrowth).toEqual(true);
  });
});
