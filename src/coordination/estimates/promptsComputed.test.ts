import { describe, it } from "node:test";
import { expect } from "earl";
import {
  configurationOf,
  engineEntry,
  engineService,
  streamRoute,
} from "../../../tests/support/forwardingFixture.ts";
import { upstreamError } from "../../protocol/errors.ts";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import { createReplicaState, priorities, tokensAhead } from "../../state/forwarding/replicaState.ts";
import { createRouteTable } from "../../state/forwarding/routeTable.ts";
import type { AttemptPlan, ForwardAttemptDependencies } from "../forwarding/forwardAttempt.ts";
import { createForwardAttempt } from "../forwarding/forwardAttempt.ts";
import { createManualClock } from "../manualClock.ts";
import { createReplicaEstimates } from "./replicaEstimates.ts";

const nothing = (): undefined => undefined;

const promptTokens = 2_400;

/**
 * Makes one attempt, and reads its answer to the end.
 *
 * @param answer - The body's chunks; `undefined` if the replica can't be reached. An error is thrown where it stands.
 * @returns The tokens that were noted as computed, and those outstanding whenever work was noted.
 */
const attemptWith = async (
  answer: readonly (string | Error)[] | undefined,
  { status = 200, isStream = true } = {},
) => {
  const replica = createReplicaState(engineEntry("engine"));
  const computed: number[] = [];
  const outstanding: number[] = [];
  const body = async function* (): AsyncGenerator<Buffer> {
    for (const chunk of answer ?? []) {
      await Promise.resolve();
      if (chunk instanceof Error) throw chunk;
      yield Buffer.from(chunk);
    }
  };
  const send = (): Promise<unknown> =>
    answer === undefined
      ? Promise.reject(upstreamError("unreachable", "unreachable", "not_sent"))
      : Promise.resolve({ head: { status, headers: [] }, framing: "chunks", body: body() });
  const fakes = {
    client: { send },
    check: () => Promise.resolve(),
    holders: { notePrompt: () => [] },
    reports: { noteRequestSent: nothing, noteWorkChanged: nothing },
    health: { noteSuccess: nothing, noteFailure: nothing, noteBrokenConnection: nothing },
    crashes: { noteBrokenConnection: nothing, checkAfterEnd: () => Promise.resolve(false) },
    quarantine: { noteAnswered: nothing },
    announcesSaves: () => false,
    organisationKey: () => 0,
  };
  const attempt = createForwardAttempt({
    ...(fakes as unknown as ForwardAttemptDependencies),
    estimates: createReplicaEstimates(),
    metrics: new MemoryMetrics(),
    clock: createManualClock(),
    speeds: {
      notePromptComputed: (_, tokens) => {
        computed.push(tokens);
        outstanding.push(tokensAhead(replica, priorities - 1));
      },
      noteOwnWork: () => outstanding.push(tokensAhead(replica, priorities - 1)),
    },
  });
  const plan = {
    request: {
      method: "POST",
      host: "model.example",
      target: "/ask/",
      headers: [],
      body: Buffer.from("body"),
    },
    choice: { replica, promptTokens, reservedTokens: 0, priority: 1 },
    admission: {
      table: createRouteTable(configurationOf(1)),
      route: isStream ? streamRoute : { ...streamRoute, kind: "repeatable" },
      service: engineService,
      organisation: undefined,
    },
  } as unknown as AttemptPlan;
  try {
    const { rest } = await attempt(plan, new AbortController().signal);
    while (rest !== undefined && (await rest.next()).done !== true);
  } catch (error) {
    // The failure itself is the subject of other tests.
    expect(error instanceof Error).toEqual(true);
  }
  return { computed, outstanding };
};

const cutOff = upstreamError("cut off", "closed_early", "sent");

describe("the prompt tokens that a replica has computed", () => {
  const counted = { computed: [promptTokens], outstanding: [promptTokens, 0] };
  const notCounted = { computed: [], outstanding: [promptTokens, 0] };

  it("include a prompt once its first token has arrived, also if the answer breaks off later", async () => {
    expect(await attemptWith(["first", "second"])).toEqual(counted);
    expect(await attemptWith(["first", cutOff])).toEqual(counted);
    expect(await attemptWith(["whole"], { isStream: false })).toEqual(counted);
  });

  // A replica that fails requests quickly would seem to be fast, and get more of them.
  it("do not include the prompts of requests that fail before a first token", async () => {
    expect(await attemptWith(undefined)).toEqual(notCounted);
    expect(await attemptWith([cutOff])).toEqual(notCounted);
    expect(await attemptWith([])).toEqual(notCounted);
    expect(await attemptWith(["refused"], { status: 503 })).toEqual(notCounted);
    expect(await attemptWith(["failed"], { status: 500, isStream: false })).toEqual(notCounted);
  });
});
