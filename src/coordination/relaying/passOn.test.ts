import { describe, it } from "node:test";
import { expect } from "earl";
import { outcomes } from "../../protocol/constants.ts";
import { RequestError } from "../../protocol/errors.ts";
import type { RelayRefusal } from "../../protocol/forwarding/RelayClient.ts";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import type { ForwardRun } from "../forwarding/forwardRun.ts";
import { createManualClock } from "../manualClock.ts";
import { createStopper } from "../requests/stopper.ts";
import { createPassOn } from "./passOn.ts";
import { createRelay, noRelay } from "./relay.ts";
import type { Relay } from "./relay.ts";

const clock = createManualClock(10_000);

const runOf = (mayHaveRun: boolean, isRelayed: boolean): ForwardRun =>
  ({
    request: { id: "1", relayed: isRelayed ? { source: "router-1", sentTo: [] } : undefined },
    admission: { service: { name: "desk" } },
    deadline: clock.monotonic() + 1_000,
    sentTo: new Set(),
    mayHaveRun: () => mayHaveRun,
    sends: () => 0,
    stopper: createStopper(),
  }) as unknown as ForwardRun;

const refusal: RelayRefusal = {
  kind: "refusal",
  failure: { status: 503, code: "overloaded", outcome: outcomes.notRun, retryAfterSeconds: 1 },
  message: "Too much work is waiting; the request has not run.",
};

const refusingRelay = createRelay({
  client: { send: () => Promise.resolve(refusal) } as never,
  targets: {
    choose: () => ({ name: "b", incarnation: "b-1", isNear: true, at: { address: "10.0.0.2", port: 1 } }),
    begin: () => () => undefined,
    avoid: () => undefined,
  },
  clock,
  metrics: new MemoryMetrics(),
});

/** @returns The outcome that the caller is told. */
const outcomeOf = async (relay: Relay, mayHaveRun: boolean, isRelayed: boolean) => {
  const { passOn } = createPassOn({
    paths: { lostFor: () => 60_000, whenChecked: () => Promise.resolve() },
    relay,
    maySend: () => true,
    clock,
  });
  try {
    await passOn(runOf(mayHaveRun, isRelayed), { lastEventId: undefined, timeout: undefined });
  } catch (error) {
    if (error instanceof RequestError) return error.failure.outcome;
    throw error;
  }
  throw new Error("The request was not refused.");
};

describe("a request that no router serves", () => {
  it("is said not to have run only if no earlier attempt may have run it", async () => {
    for (const relay of [noRelay, refusingRelay]) {
      for (const isRelayed of [false, true]) {
        expect(await outcomeOf(relay, false, isRelayed)).toEqual(outcomes.notRun);
        expect(await outcomeOf(relay, true, isRelayed)).toEqual(outcomes.outcomeUnknown);
      }
    }
  });
});
