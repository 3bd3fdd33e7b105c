import { describe, it } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { expect } from "earl";
import { createQuarantineRouters, requestOf } from "../../../tests/support/quarantineRouters.ts";
import {
  crashBatchInterval,
  digestMismatchReadDelays,
  digestMismatchGrace,
  crashThresholds,
  maxTrials,
  quarantineDurations,
  decisionDelay,
  trialDelays,
} from "./constants.ts";
import { positionAt } from "../../../tests/support/positions.ts";

/** Required time within which every connected router knows of a request that crashed three replicas, milliseconds. */
const requiredKnownWithin = 3_000;

/** Time in which an update of one router reaches all routers and is applied, milliseconds. */
const propagationTime = decisionDelay + 50;

const deadly = "deadly";

/** A quarter of the 32 MB that a router's control state may take at the target size, megabytes. */
const maxHeapGrowth = 8;

const collectGarbage = (): void => {
  setFlagsFromString("--expose-gc");
  (runInNewContext("gc") as () => void)();
};

/** The same request crashes as many replicas as the threshold for quarantine, each seen by another router. */
const crashThree = async (
  routers: ReturnType<typeof createQuarantineRouters>,
  bodies: readonly string[] = [deadly],
  begun: readonly string[] = [],
): Promise<void> => {
  for (let crash = 0; crash < crashThresholds.content; crash += 1) {
    routers.crash(crash % routers.routers.length, `replica-${crash}`, bodies, begun);
    await routers.advance(20);
  }
  await routers.advance(propagationTime);
};

describe("a request that crashes replicas", () => {
  it("is quarantined by all routers once it has crashed three, wherever each crash was seen", async () => {
    const routers = createQuarantineRouters(4);
    routers.crash(0, "a", [deadly]);
    routers.crash(1, "b", [deadly]);
    await routers.advance(propagationTime);
    expect(routers.quarantinedAt(deadly)).toEqual([]);
    routers.crash(2, "c", [deadly]);
    await routers.advance(propagationTime);
    expect(routers.quarantinedAt(deadly)).toEqual([1, 2, 3, 4]);
  });

  it("is sent to none from the third crash on, even before the cause is decided", async () => {
    const routers = createQuarantineRouters(2);
    for (const replica of ["a", "b", "c"]) routers.crash(0, replica, [deadly]);
    expect(routers.quarantinedAt(deadly)).toEqual([1]);
    await routers.advance(crashBatchInterval + 10);
    expect(routers.quarantinedAt(deadly)).toEqual([1, 2]);
  });

  it("counts a crash once, however many routers report it and however often", async () => {
    const routers = createQuarantineRouters(4);
    for (let index = 0; index < 4; index += 1) routers.crash(index, "a", [deadly, deadly]);
    routers.crash(0, "b", [deadly]);
    await routers.advance(2_000);
    expect(routers.quarantinedAt(deadly)).toEqual([]);
  });

  it("is quarantined by all routers although the first copy of each datagram is lost", async () => {
    const routers = createQuarantineRouters(3);
    for (const replica of ["a", "b", "c"]) {
      routers.crash(0, replica, [deadly]);
      routers.network.isDown = true;
      await routers.advance(crashBatchInterval + 10);
      routers.network.isDown = false;
    }
    expect(routers.quarantinedAt(deadly)).toEqual([1]);
    await routers.advance(1_000);
    expect(routers.quarantinedAt(deadly)).toEqual([1, 2, 3]);
  });

  it("is refused at once, with the time of a retry", async () => {
    const routers = createQuarantineRouters(2);
    await crashThree(routers);
    const before = routers.clock.monotonic();
    const { wait } = await routers.admit(0, deadly);
    expect(routers.clock.monotonic() - before <= 20).toEqual(true);
    expect(wait !== undefined && wait > 0 && wait <= trialDelays.first).toEqual(true);
  });

  it("is sent again after the quarantine duration", async () => {
    const routers = createQuarantineRouters(1);
    await crashThree(routers);
    routers.clock.advanceTo(routers.clock.monotonic() + quarantineDurations.content);
    await routers.advance(2_500);
    expect(routers.quarantinedAt(deadly)).toEqual([]);
    expect(routers.records.log.at(-1)?.value).toEqual(undefined);
  });
});

describe("requests in flight beside one that crashes replicas", () => {
  it("are cleared by their next answer, at any router, if they are popular", async () => {
    const routers = createQuarantineRouters(4);
    for (let crash = 0; crash < 20; crash += 1) {
      routers.crash(crash % 4, `replica-${crash}`, ["popular"]);
      await routers.advance(30);
      if (crash % 2 === 1) routers.at((crash + 1) % 4).quarantine.noteAnswered(requestOf("popular"), true);
      await routers.advance(30);
    }
    expect(routers.quarantinedAt("popular")).toEqual([]);
  });

  it("are not quarantined for crashes that have another cause, though in flight at all of them", async () => {
    const routers = createQuarantineRouters(4);
    await crashThree(routers, ["stream", deadly], ["stream"]);
    expect([routers.quarantinedAt("stream"), routers.quarantinedAt(deadly)]).toEqual([[], [1, 2, 3, 4]]);
  });

  it("are released by one trial if quarantined by chance, and the cause is quarantined at the next crash", async () => {
    const routers = createQuarantineRouters(4);
    // Nothing distinguishes the two, so the first one named is taken for the cause.
    await crashThree(routers, ["popular", deadly]);
    expect([routers.quarantinedAt("popular"), routers.quarantinedAt(deadly)]).toEqual([[1, 2, 3, 4], []]);
    await routers.advance(trialDelays.first);
    const { request, wait } = await routers.admit(3, "popular");
    expect(wait).toEqual(undefined);
    expect(routers.at(3).quarantine.isQuarantined(request)).toEqual(false);
    expect(routers.quarantinedAt("popular")).toEqual([1, 2, 3, 4]);
    routers.at(3).quarantine.noteAnswered(request, true);
    await routers.advance(propagationTime);
    expect(routers.quarantinedAt("popular")).toEqual([]);
    routers.crash(0, "next", [deadly]);
    await routers.advance(propagationTime);
    expect(routers.quarantinedAt(deadly)).toEqual([1, 2, 3, 4]);
    expect(routers.records.log.at(-1)?.key === undefined).toEqual(false);
  });
});

describe("two requests that crash replicas at once", () => {
  it("are both quarantined, the second at the next crash without the first", async () => {
    const routers = createQuarantineRouters(3);
    await crashThree(routers, [deadly, "deadly too"]);
    expect([routers.quarantinedAt(deadly), routers.quarantinedAt("deadly too")]).toEqual([[1, 2, 3], []]);
    routers.crash(1, "next", ["deadly too"]);
    await routers.advance(propagationTime);
    expect(routers.quarantinedAt("deadly too")).toEqual([1, 2, 3]);
  });

  it("are both quarantined at their third crash if each crashes other replicas", async () => {
    const routers = createQuarantineRouters(3);
    for (let crash = 0; crash < crashThresholds.content; crash += 1) {
      routers.crash(0, `a-${crash}`, [deadly]);
      routers.crash(1, `b-${crash}`, ["deadly too"]);
    }
    await routers.advance(propagationTime);
    expect([routers.quarantinedAt(deadly), routers.quarantinedAt("deadly too")]).toEqual([
      [1, 2, 3],
      [1, 2, 3],
    ]);
  });
});

describe("trials of a quarantined request", () => {
  it("are made by one router at a time, and not more often than allowed", async () => {
    const routers = createQuarantineRouters(4);
    await crashThree(routers);
    let trials = 0;
    for (let round = 0; round < 40; round += 1) {
      await routers.advance(trialDelays.next / 8);
      const asked = await Promise.all([0, 1, 2, 3].map((index) => routers.admit(index, deadly)));
      const passed = asked.findIndex(({ wait }) => wait === undefined);
      if (passed < 0) continue;
      expect(asked.filter(({ wait }) => wait === undefined).length).toEqual(1);
      trials += 1;
      const request = asked[passed]?.request ?? requestOf(deadly);
      routers.at(passed).quarantine.noteFailed(request);
      expect(routers.at(passed).quarantine.isQuarantined(request)).toEqual(true);
      routers.crash(passed, `trial-${trials}`, [deadly]);
    }
    expect(trials).toEqual(maxTrials);
  });

  it("are not repeated after a restart of all routers", async () => {
    const routers = createQuarantineRouters(2);
    await crashThree(routers);
    for (const delay of [trialDelays.first, trialDelays.next]) {
      await routers.advance(delay);
      const { request, wait } = await routers.admit(0, deadly);
      expect(wait).toEqual(undefined);
      routers.at(0).quarantine.noteFailed(request);
    }
    for (const router of [...routers.routers]) await routers.stop(router);
    routers.start(3);
    await routers.advance(trialDelays.next * 2);
    expect(((await routers.admit(0, deadly)).wait ?? 0) > trialDelays.next).toEqual(true);
  });

  it("are not made while the store is unreachable", async () => {
    const routers = createQuarantineRouters(2);
    await crashThree(routers);
    routers.records.cutOffPorts.add(1).add(2);
    await routers.advance(trialDelays.first);
    expect(((await routers.admit(0, deadly)).wait ?? 0) > 0).toEqual(true);
  });
});

describe("routers that did not see the crashes", () => {
  it("quarantine it from their start on, whether they start later or all restart together", async () => {
    const routers = createQuarantineRouters(3);
    await crashThree(routers);
    const later = routers.start(4);
    await routers.advance(20);
    expect([later.quarantine.isReady(), routers.quarantinedAt(deadly)]).toEqual([true, [1, 2, 3, 4]]);
    for (const router of [...routers.routers]) await routers.stop(router);
    for (let port = 5; port <= 7; port += 1) routers.start(port);
    await routers.advance(20);
    expect(routers.quarantinedAt(deadly)).toEqual([5, 6, 7]);
  });

  it("don't serve before the first read of the store, but wait for it only until its timeout", async () => {
    const routers = createQuarantineRouters(1);
    routers.records.cutOffPorts.add(2);
    const later = routers.start(2);
    await routers.advance(100);
    expect(later.quarantine.isReady()).toEqual(false);
    await routers.advance(1_000);
    expect(later.quarantine.isReady()).toEqual(true);
  });

  it("quarantine it in time after their data centre was cut off from the others and from the store", async () => {
    const routers = createQuarantineRouters(6);
    await routers.advance(100);
    for (const port of [5, 6]) {
      routers.isolatedPorts.add(port);
      routers.records.cutOffPorts.add(port);
    }
    await crashThree(routers);
    expect(routers.quarantinedAt(deadly)).toEqual([1, 2, 3, 4]);
    await routers.advance(20_000);
    routers.isolatedPorts.clear();
    routers.records.cutOffPorts.clear();
    await routers.advance(requiredKnownWithin);
    expect(routers.quarantinedAt(deadly)).toEqual([1, 2, 3, 4, 5, 6]);
  });

  it("quarantine what a data centre decided while it was cut off, once it is connected again", async () => {
    const routers = createQuarantineRouters(6);
    for (const port of [1, 2]) {
      routers.isolatedPorts.add(port);
      routers.records.cutOffPorts.add(port);
    }
    for (const replica of ["a", "b", "c"]) routers.crash(0, replica, [deadly]);
    await routers.advance(10_000);
    expect(routers.quarantinedAt(deadly)).toEqual([1, 2]);
    routers.isolatedPorts.clear();
    routers.records.cutOffPorts.clear();
    await routers.advance(requiredKnownWithin);
    expect(routers.quarantinedAt(deadly)).toEqual([1, 2, 3, 4, 5, 6]);
  });

  it("all release it once its record was dropped by hand and one router was restarted", async () => {
    const routers = createQuarantineRouters(3);
    await crashThree(routers);
    const [{ key }] = [...routers.records.log.slice(-1), { key: "" }];
    routers.records.log.push({ position: positionAt(routers.records.log.length), key, value: undefined });
    await routers.stop(routers.at(2));
    routers.start(4);
    await routers.advance(requiredKnownWithin);
    expect(routers.quarantinedAt(deadly)).toEqual([]);
  });

  it("read the store at a limited rate while a digest mismatch lasts", async () => {
    const routers = createQuarantineRouters(3);
    routers.records.cutOffPorts.add(1);
    for (const replica of ["a", "b", "c"]) routers.at(0).quarantine.noteCrash({ replica, broken: [] });
    await routers.advance(digestMismatchGrace);
    const before = routers.records.reads;
    routers.at(1).quarantine.notePeerDigest(7);
    await routers.advance(60_000);
    // Each read makes at most two calls to the feed here.
    expect(routers.records.reads - before <= 2 * (60_000 / digestMismatchReadDelays.first)).toEqual(true);
  });
});

describe("crash updates between routers", () => {
  it("are sent and recorded only by routers that had the request in flight", async (context) => {
    const routers = createQuarantineRouters(20);
    await routers.advance(1_000);
    const before = routers.network.sent;
    for (const replica of ["a", "b", "c"]) routers.crash(0, replica, [deadly]);
    await routers.advance(10_000);
    const each = (routers.network.sent - before) / 19;
    context.diagnostic(
      `${each.toFixed(1)} datagrams to each other router, ${routers.records.log.length} records`,
    );
    expect(routers.quarantinedAt(deadly).length).toEqual(20);
    // One message with the crashes and one with the decision, each sent twice.
    expect([each, routers.records.log.length]).toEqual([4, 1]);
  });

  it("grow with the number of routers, not with the number of replicas that crash at once", async (context) => {
    const routers = createQuarantineRouters(20);
    await routers.advance(1_000);
    const before = routers.network.sent;
    for (let index = 0; index < 20; index += 1) {
      for (let replica = 0; replica < 20; replica += 1) {
        routers.crash(index, `replica-${replica}`, [`asked-${index}-${replica}`, "popular"]);
      }
    }
    await routers.advance(10);
    for (const { quarantine } of routers.routers) quarantine.noteAnswered(requestOf("popular"), true);
    await routers.advance(1_000);
    const each = (routers.network.sent - before) / 20 / 19;
    context.diagnostic(
      `20 replicas crash with requests of 20 routers: ${each.toFixed(1)} datagrams to each of the others`,
    );
    // Two with crashes, each sent twice; one announcement of the answer in all, and those that cross it on the way.
    expect(each <= 5).toEqual(true);
    expect(routers.quarantinedAt("popular")).toEqual([]);
  });
});

describe("a quarantine whose store returns from an older copy", () => {
  const recordsOf = (routers: ReturnType<typeof createQuarantineRouters>): readonly string[] => {
    const newest = new Map(routers.records.log.map(({ key, value }) => [key, value]));
    return [...newest].filter(([, value]) => value !== undefined).map(([key]) => key);
  };

  // Guards against routers that consider the lost record written, or its absence from the store's new list a release.
  it("keeps its requests quarantined, and records them again", async () => {
    const routers = createQuarantineRouters(4);
    await crashThree(routers);
    await routers.advance(requiredKnownWithin * 4);
    expect(recordsOf(routers).length).toEqual(1);
    routers.restoreStore(0);
    await routers.advance(requiredKnownWithin * 2);
    expect(routers.quarantinedAt(deadly)).toEqual([1, 2, 3, 4]);
    expect(recordsOf(routers).length).toEqual(1);
    routers.start(5);
    await routers.advance(requiredKnownWithin);
    expect(routers.quarantinedAt(deadly)).toEqual([1, 2, 3, 4, 5]);
  });

  // Otherwise a router that once released the request drops the newer record from the copy.
  it("keeps a request quarantined that crashed three replicas again after its release", async () => {
    const routers = createQuarantineRouters(4);
    await crashThree(routers);
    await routers.advance(requiredKnownWithin);
    routers.at(3).quarantine.noteAnswered(requestOf(deadly), true);
    await routers.advance(requiredKnownWithin);
    expect(recordsOf(routers)).toEqual([]);
    for (const replica of ["d", "e", "f"]) {
      routers.crash(0, replica, [deadly]);
      await routers.advance(20);
    }
    await routers.advance(requiredKnownWithin * 4);
    expect(routers.quarantinedAt(deadly)).toEqual([1, 2, 3, 4]);
    const { length } = routers.records.log;
    routers.restoreStore(length);
    await routers.advance(requiredKnownWithin * 2);
    expect(routers.quarantinedAt(deadly)).toEqual([1, 2, 3, 4]);
    expect(recordsOf(routers).length).toEqual(1);
    expect(routers.records.log.slice(length).filter(({ value }) => value === undefined)).toEqual([]);
  });

  // Guards against the copy listing a request again that has been answered since.
  it("doesn't quarantine released requests again", async () => {
    const routers = createQuarantineRouters(4);
    await crashThree(routers);
    await routers.advance(requiredKnownWithin);
    const length = routers.records.log.length;
    routers.at(1).quarantine.noteAnswered(requestOf(deadly), true);
    await routers.advance(requiredKnownWithin);
    expect(recordsOf(routers)).toEqual([]);
    routers.restoreStore(length);
    await routers.advance(requiredKnownWithin * 2);
    expect(routers.quarantinedAt(deadly)).toEqual([]);
    routers.crash(0, "other", ["another"]);
    routers.start(5);
    await routers.advance(requiredKnownWithin * 4);
    expect(recordsOf(routers)).toEqual([]);
    expect(routers.quarantinedAt(deadly).filter((port) => port !== 5)).toEqual([]);
  });
});

describe("memory used for crash evidence", () => {
  it("stays bounded under many distinct requests, and the cause among them is found", async (context) => {
    const routers = createQuarantineRouters(1);
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    for (let crash = 0; crash < 2_000; crash += 1) {
      const bodies = Array.from({ length: 60 }, (_, index) => `once-${crash}-${index}`);
      routers.crash(0, `replica-${crash}`, [...bodies, ...(crash > 1_996 ? [deadly] : [])]);
    }
    await routers.advance(propagationTime);
    collectGarbage();
    const grown = (process.memoryUsage().heapUsed - before) / 1_048_576;
    context.diagnostic(`120,000 distinct requests at 2,000 crashes: ${grown.toFixed(1)} MB more on the heap`);
    expect(routers.quarantinedAt(deadly)).toEqual([1]);
    expect(grown < maxHeapGrowth).toEqual(true);
  });
});
