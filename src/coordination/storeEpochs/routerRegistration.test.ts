import { describe, it } from "node:test";
import { expect } from "earl";
import * as fc from "fast-check";
import { RecordFeed } from "../../protocol/forwarding/RecordFeed.ts";
import type { FeedPage, RegisteredRouter } from "../../protocol/forwarding/types.ts";
import type { StoreEpoch } from "../../protocol/storeEpoch.ts";
import { noEpochChanges, defaultEpoch } from "../../protocol/storeEpoch.ts";
import { StorePosition } from "../../protocol/StorePosition.ts";
import { setLogSink } from "../../state/log.ts";
import type { ManualClock } from "../manualClock.ts";
import { createManualClock } from "../manualClock.ts";
import { pause } from "../clock.ts";
import { bootstrapPause } from "./constants.ts";
import type { RouterOrigin } from "./routerRegistration.ts";
import { startRegistration } from "./routerRegistration.ts";

setLogSink(() => undefined);

/** A list that takes a call's effect at some time within the call. */
class MemoryFeed extends RecordFeed<RegisteredRouter> {
  readonly entries = new Map<string, RegisteredRouter>();

  /** @param latency - Milliseconds from the sending of a call, or from its effect, to the next of these. */
  constructor(
    private readonly clock: ManualClock,
    private readonly latency: () => number,
  ) {
    super();
  }

  override async newest(): Promise<FeedPage<RegisteredRouter>> {
    await pause(this.clock, this.latency());
    const records = [...this.entries].map(([key, value], offset) => ({
      position: new StorePosition(defaultEpoch, offset),
      key,
      value,
    }));
    await pause(this.clock, this.latency());
    return { records, next: new StorePosition(defaultEpoch, records.length), isComplete: true };
  }

  override async put(key: string, value: RegisteredRouter): Promise<StoreEpoch> {
    await pause(this.clock, this.latency());
    this.entries.set(key, value);
    await pause(this.clock, this.latency());
    return defaultEpoch;
  }

  override changes(): Promise<FeedPage<RegisteredRouter>> {
    return Promise.reject(new Error("Not read."));
  }

  override drop(): Promise<void> {
    return Promise.reject(new Error("Not dropped."));
  }
}

interface RouterState {
  origin: RouterOrigin | undefined;
  /** The routers in the last list that it has read. */
  listed: readonly string[];
}

interface RouterStart {
  readonly name: string;
  readonly at: number;
  readonly isUrgent: boolean;
}

const duration = 20_000;

/** Lets promises that are settled run on. */
const flush = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

const play = async (
  starts: readonly RouterStart[],
  latencies: readonly number[],
): Promise<ReadonlyMap<string, RouterState>> => {
  const clock = createManualClock();
  let calls = 0;
  const feed = new MemoryFeed(clock, () => latencies[(calls += 1) % latencies.length] ?? 0);
  const states = new Map<string, RouterState>();
  const registrations: AsyncDisposable[] = [];

  const start = ({ name, isUrgent }: RouterStart): void => {
    const state: RouterState = { origin: undefined, listed: [] };
    states.set(name, state);
    const registration = startRegistration({
      self: { name, incarnation: name, dataCentre: "here", address: "127.0.0.1", port: 1 },
      feed,
      epochs: noEpochChanges,
      clock,
      retryInterval: () => 100,
      countRouters: () => state.listed.length,
      isBootstrapUrgent: () => isUrgent,
      random: () => 0,
      onListed: (entries, origin) => {
        state.origin = origin;
        state.listed = entries.map((entry) => entry.name);
      },
    });
    registrations.push(registration);
  };

  for (const each of starts) clock.after(each.at, () => start(each));
  for (let next = clock.nextTimer(); next !== undefined && next <= duration; next = clock.nextTimer()) {
    clock.advanceTo(next);
    await flush();
  }
  await Promise.all(registrations.map((each) => each[Symbol.asyncDispose]()));
  return states;
};

const namesOf = (states: ReadonlyMap<string, RouterState>, wanted: RouterOrigin): readonly string[] =>
  [...states].flatMap(([name, { origin }]) => (origin === wanted ? [name] : []));

const at = (name: string, time: number, isUrgent = false): RouterStart => ({ name, at: time, isUrgent });

describe("the registration of routers", () => {
  it("tells routers that start together from one that joins them, and from one that restarts", async () => {
    const starts = [at("a", 0), at("b", 50), at("c", bootstrapPause * 4), at("a", bootstrapPause * 8)];
    const states = await play(starts, [5]);
    expect(namesOf(states, "bootstrap")).toEqual(["b"]);
    expect(namesOf(states, "join")).toEqual(["c"]);
    expect(namesOf(states, "restart")).toEqual(["a"]);
  });

  it("doesn't wait for others while a router is short of its part", async () => {
    const states = await play([at("a", 0, true), at("b", bootstrapPause / 2)], [5]);
    expect(namesOf(states, "bootstrap")).toEqual(["a"]);
    expect(namesOf(states, "join")).toEqual(["b"]);
  });

  // Each of them takes its part of the reserve for retries at once.
  it("lets routers that start together find all others that do", async () => {
    const drawnStart = fc.record({ at: fc.nat(1_500), isUrgent: fc.boolean() });
    const drawnLatencies = fc.array(fc.nat(400), { minLength: 1, maxLength: 40 });
    await fc.assert(
      fc.asyncProperty(
        fc.array(drawnStart, { minLength: 2, maxLength: 8 }),
        drawnLatencies,
        async (drawn, latencies) => {
          const starts = drawn.map((each, index) => ({ ...each, name: `router-${index}` }));
          const states = await play(starts, latencies);
          const bootstrapped = namesOf(states, "bootstrap");
          expect(bootstrapped.length > 0).toEqual(true);
          for (const name of bootstrapped)
            expect(bootstrapped.every((other) => states.get(name)?.listed.includes(other))).toEqual(true);
        },
      ),
      { seed: 79, numRuns: 150 },
    );
  });
});
