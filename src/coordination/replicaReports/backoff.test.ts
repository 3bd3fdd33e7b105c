import { describe, it } from "node:test";
import { expect } from "earl";
import { drainingAnswer, engineEntry } from "../../../tests/support/forwardingFixture.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { createManualClock } from "../manualClock.ts";
import { createAvailability } from "./availability.ts";
import {
  isAvoided,
  isBackingOff,
  maySend,
  noteAccepted,
  noteRefusal,
  noteSent,
  startBackoff,
} from "./backoff.ts";
import { reopeningJitter } from "./constants.ts";

const start = (ids: readonly string[] = ["engine"]) => {
  const replicas = createReplicaTable();
  ids.forEach((id) => replicas.put(engineEntry(id)));
  const stateOf = (id = ids[0] ?? ""): ReplicaState => {
    const state = replicas.get(id);
    if (state === undefined) throw new Error("The replica is not registered.");
    return state;
  };
  return { replicas, stateOf };
};

/** @returns When requests are admitted if one is waiting at each millisecond; each is answered after `answerTime`. */
const admittedAt = (replica: ReplicaState, from: number, until: number, answerTime: number): number[] => {
  const admitted: number[] = [];
  for (let now = from; now < until; now += 1) {
    for (const at of admitted) if (at + answerTime === now) noteAccepted(replica, at, now);
    if (isBackingOff(replica, now)) continue;
    noteSent(replica, now);
    admitted.push(now);
  }
  return admitted;
};

describe("backoff", () => {
  it("lasts until the latest end of overlapping periods, whichever comes first", () => {
    for (const [first, second] of [
      [4_000, 1_000],
      [1_000, 4_000],
    ] as const) {
      const replica = start().stateOf();
      expect(startBackoff(replica, first, 0, 0)).toEqual(true);
      expect(startBackoff(replica, second, 10, 0)).toEqual(false);
      expect(isBackingOff(replica, Math.max(first, second) - 1)).toEqual(true);
      expect(isBackingOff(replica, Math.max(first, second) + 10)).toEqual(false);
    }
  });

  it("ends at different times at routers that were refused together", () => {
    const [early, late] = [start().stateOf(), start().stateOf()];
    startBackoff(early, 4_000, 0, 0);
    startBackoff(late, 4_000, 0, 1);
    expect([early, late].map((each) => isBackingOff(each, 4_000 + reopeningJitter.spread / 2))).toEqual([
      false,
      true,
    ]);
  });

  it("withholds a request that was queued before it, even after its end", () => {
    const replica = start().stateOf();
    startBackoff(replica, 1_000, 100, 0);
    expect(maySend(replica, 50, 500)).toEqual(false);
    expect(maySend(replica, 50, 2_000)).toEqual(false);
    expect(maySend(replica, 2_000, 2_000)).toEqual(true);
  });

  it("is not ended by answers to requests that were sent before it began", () => {
    const replica = start().stateOf();
    startBackoff(replica, 1_000, 100, 0);
    expect(noteAccepted(replica, 50, 2_000)).toEqual(false);
    expect(replica.backoff === undefined).toEqual(false);
  });

  it("is followed by single requests that become the usual rate within a second", () => {
    const replica = start().stateOf();
    startBackoff(replica, 1_000, 0, 0);
    const admitted = admittedAt(replica, 0, 2_000, 30);
    expect(admitted[0]).toEqual(1_000);
    expect(admitted.filter((at) => at < 1_100).length <= 3).toEqual(true);
    expect(admitted.filter((at) => at >= 1_990).length).toEqual(10);
    expect(replica.backoff).toEqual(undefined);
  });

  it("begins again after one request where the replica refuses the first one", () => {
    const replica = start().stateOf();
    startBackoff(replica, 1_000, 0, 0);
    noteSent(replica, 1_000);
    expect(startBackoff(replica, 1_000, 1_010, 0)).toEqual(true);
    expect(isBackingOff(replica, 2_000)).toEqual(true);
    expect(isBackingOff(replica, 2_010)).toEqual(false);
  });

  it("has no longest duration", () => {
    const replica = start().stateOf();
    startBackoff(replica, 31_536_000_000, 0, 0);
    expect(isBackingOff(replica, 31_535_999_999)).toEqual(true);
  });
});

describe("a refusal without a usable Retry-After", () => {
  it("makes other replicas preferred, longer each time, until the replica accepts a request", () => {
    const replica = start().stateOf();
    noteRefusal(replica, 0, 1);
    expect([isAvoided(replica, 49), isAvoided(replica, 50), isBackingOff(replica, 0)]).toEqual([
      true,
      false,
      false,
    ]);
    noteRefusal(replica, 50, 1);
    expect([isAvoided(replica, 149), isAvoided(replica, 150)]).toEqual([true, false]);
    noteSent(replica, 150);
    expect(isAvoided(replica, 151)).toEqual(true);
    noteAccepted(replica, 150, 180);
    expect(isAvoided(replica, 181)).toEqual(false);
    expect(replica.backoff).toEqual(undefined);
  });
});

describe("availability", () => {
  const setUp = () => {
    const clock = createManualClock(0);
    const system = start(["a", "b"]);
    let random = 0;
    let routerCounts = 0;
    const availability = createAvailability({
      replicas: system.replicas,
      clock,
      countRouters: () => {
        routerCounts += 1;
        return 1;
      },
      random: () => random,
    });
    const setRandom = (value: number) => (random = value);
    return { ...system, clock, availability, setRandom, routerCounts: () => routerCounts };
  };

  // Counting all routers for each replica took most of a router's processor time in large deployments.
  it("doesn't count routers while no replica is brittle", () => {
    const { availability, routerCounts } = setUp();
    availability.available("engines");
    availability.describeSkipped("engines");
    expect(routerCounts()).toEqual(0);
  });

  it("excludes a replica that asks for backoff", () => {
    const { availability, stateOf } = setUp();
    startBackoff(stateOf("a"), 2_500, 0, 0);
    expect(availability.available("engines").map(({ entry }) => entry.id)).toEqual(["b"]);
    expect(availability.retryAfter("engines")).toEqual(undefined);
    expect(availability.describeSkipped("engines")).toEqual("a:backoff:2500");
  });

  it("spreads callers' retries after the backoff where all replicas back off", () => {
    const { availability, stateOf, setRandom } = setUp();
    startBackoff(stateOf("a"), 2_500, 0, 0);
    startBackoff(stateOf("b"), 5_000, 0, 0);
    const times = [0, 0.25, 0.5, 0.9].map((value) => {
      setRandom(value);
      return availability.retryAfter("engines") ?? 0;
    });
    expect(times.every((time) => time >= 2_500 && time < 7_500)).toEqual(true);
    expect(new Set(times).size).toEqual(4);
  });

  it("gives callers a retry time where all replicas drain, and none where no replica is registered", () => {
    const { availability, replicas } = setUp();
    replicas.markDraining("a", drainingAnswer);
    replicas.markDraining("b", drainingAnswer);
    expect(availability.available("engines")).toEqual([]);
    expect((availability.retryAfter("engines") ?? 0) > 0).toEqual(true);
    expect(availability.describeSkipped("engines")).toEqual("a:draining b:draining");
    expect(availability.retryAfter("unknown")).toEqual(undefined);
  });

  it("keeps a backoff when the registry drops the replica and lists it again, but not for a new incarnation", () => {
    const { availability, replicas, stateOf } = setUp();
    startBackoff(stateOf("a"), 2_500, 0, 0);
    replicas.remove("a");
    replicas.put(engineEntry("a"));
    expect(availability.available("engines").map(({ entry }) => entry.id)).toEqual(["b"]);
    replicas.put(engineEntry("a/2", { registeredAs: "a", bornAt: 2 }));
    expect(availability.available("engines").length).toEqual(2);
  });
});
