import { describe, it } from "node:test";
import { expect } from "earl";
import { createQuarantineRouters, requestOf } from "../../../tests/support/quarantineRouters.ts";
import type { CallerRequest } from "../../protocol/forwarding/types.ts";
import type { BrokenRequest } from "./brokenRequests.ts";
import { decisionDelay, maxTrials, quarantineDurations, trialDelays } from "./constants.ts";
import { traitsOfRequest } from "./requestTraits.ts";

/** Time in which an update of one router reaches all routers and is applied, milliseconds. */
const propagationTime = decisionDelay + 50;

/** More than the time within which crashes count as one, milliseconds. */
const apart = 150;

const deadly = "dead";

let nextRequest = 0;

/** @returns A request with the given shared parts and a content of its own. */
const promptOf = (parts: readonly string[], key = "key-one"): CallerRequest => {
  nextRequest += 1;
  const body = `question ${nextRequest}`;
  return {
    ...requestOf(body),
    key,
    prompt: {
      model: "m",
      tokens: 1_000,
      answerTokens: 10,
      parts: [...parts, `own-${nextRequest}`].map((id) => ({ id, tokens: 200 })),
    },
  };
};

const brokenOf = (request: CallerRequest): BrokenRequest => ({
  traits: traitsOfRequest(request),
  hasBegun: false,
});

type Routers = ReturnType<typeof createQuarantineRouters>;

let nextReplica = 0;

/** A replica crashes with requests of one router in flight. */
const crash = async (routers: Routers, index: number, requests: readonly CallerRequest[]): Promise<void> => {
  nextReplica += 1;
  const broken = requests.map(brokenOf);
  routers.at(index).quarantine.noteCrash({ replica: `replica-${nextReplica}`, broken });
  await routers.advance(apart);
};

const isQuarantinedAt = (routers: Routers, request: CallerRequest): readonly number[] =>
  routers.routers.filter(({ quarantine }) => quarantine.isQuarantined(request)).map(({ port }) => port);

const admit = async (routers: Routers, index: number, request: CallerRequest): Promise<boolean> => {
  const results: (number | undefined)[] = [];
  void (routers.at(index).quarantine.admit(request) ?? Promise.resolve(undefined)).then((wait) =>
    results.push(wait),
  );
  while (results.length === 0) await routers.advance(10);
  return results[0] === undefined;
};

describe("a prompt part that crashes replicas", () => {
  it("is quarantined by all routers after three crashes, for every request that shares it", async () => {
    const routers = createQuarantineRouters(3);
    for (let index = 0; index < 3; index += 1) await crash(routers, index, [promptOf([deadly])]);
    await routers.advance(propagationTime);
    expect(isQuarantinedAt(routers, promptOf(["a", deadly, "b"]))).toEqual([1, 2, 3]);
  });

  it("is found beside parts that other requests share and that are answered between the crashes", async () => {
    const routers = createQuarantineRouters(2);
    for (let count = 0; count < 4; count += 1) {
      await crash(routers, 0, [promptOf(["a", deadly, "b"]), promptOf(["a", "b"])]);
      routers.at(1).quarantine.noteAnswered(promptOf(["a", "b"]), true);
      await routers.advance(apart);
    }
    await routers.advance(propagationTime);
    expect(isQuarantinedAt(routers, promptOf([deadly]))).toEqual([1, 2]);
    expect(isQuarantinedAt(routers, promptOf(["a", "b"]))).toEqual([]);
  });

  it("is found beside a part that always comes with it, and that was answered before", async () => {
    const routers = createQuarantineRouters(2);
    for (const { quarantine } of routers.routers) quarantine.noteAnswered(promptOf(["a"]), true);
    for (let count = 0; count < 4; count += 1) await crash(routers, 0, [promptOf(["a", deadly])]);
    await routers.advance(propagationTime);
    expect(isQuarantinedAt(routers, promptOf([deadly]))).toEqual([1, 2]);
    expect(isQuarantinedAt(routers, promptOf(["a"]))).toEqual([]);
  });

  it("is quarantined for all callers at the first crash with another caller's request", async () => {
    const routers = createQuarantineRouters(2);
    for (let count = 0; count < 3; count += 1) await crash(routers, 0, [promptOf([deadly])]);
    await routers.advance(propagationTime);
    expect(isQuarantinedAt(routers, promptOf([deadly], "key-two"))).toEqual([]);
    await crash(routers, 1, [promptOf([deadly], "key-two")]);
    await routers.advance(propagationTime);
    expect(isQuarantinedAt(routers, promptOf([deadly], "key-three"))).toEqual([1, 2]);
  });

  it("gets no more trials over all routers and callers than allowed", async () => {
    const routers = createQuarantineRouters(3);
    let sent = 0;
    const tryAll = async (key: string): Promise<void> => {
      for (let index = 0; index < 3; index += 1) {
        const request = promptOf([deadly], key);
        if (!(await admit(routers, index, request))) continue;
        sent += 1;
        await crash(routers, index, [request]);
        routers.at(index).quarantine.noteFailed(request);
      }
    };
    for (let count = 0; count < 3; count += 1) await crash(routers, 0, [promptOf([deadly])]);
    await routers.advance(propagationTime + trialDelays.first);
    await tryAll("key-one");
    await crash(routers, 1, [promptOf([deadly], "key-two")]);
    for (let round = 0; round < 4; round += 1) {
      await routers.advance(trialDelays.next + 100);
      await tryAll("key-one");
      await tryAll("key-two");
    }
    expect(sent <= maxTrials).toEqual(true);
  });
});

describe("a shared part of one caller", () => {
  it("isn't quarantined since a rival's crashing requests carry it", async () => {
    const routers = createQuarantineRouters(2);
    for (let count = 0; count < 6; count += 1) {
      await crash(routers, 0, [promptOf(["shared", `unique-${count}`], "rival")]);
      routers.at(1).quarantine.noteAnswered(promptOf(["shared"], "owner"), true);
      await routers.advance(apart);
    }
    await routers.advance(propagationTime);
    expect(isQuarantinedAt(routers, promptOf(["shared"], "owner"))).toEqual([]);
    expect(isQuarantinedAt(routers, promptOf(["shared"], "rival"))).toEqual([1, 2]);
  });

  it("isn't quarantined where many replicas crash at once", async () => {
    const routers = createQuarantineRouters(2);
    for (let replica = 0; replica < 12; replica += 1) {
      const broken = [brokenOf(promptOf(["shared"]))];
      routers.at(replica % 2).quarantine.noteCrash({ replica: `killed-${replica}`, broken });
    }
    await routers.advance(propagationTime);
    expect(isQuarantinedAt(routers, promptOf(["shared"]))).toEqual([]);
  });

  it("that was quarantined by chance is released once the cause explains all its crashes", async () => {
    const routers = createQuarantineRouters(2);
    const both = promptOf(["shared", deadly]);
    for (let count = 0; count < 3; count += 1) await crash(routers, 0, [promptOf(["shared", deadly])]);
    await routers.advance(propagationTime);
    const isSharedBlamed = isQuarantinedAt(routers, promptOf(["shared"])).length > 0;
    // Whichever of the two was taken for the cause, the other's next crash decides.
    await crash(routers, 0, [promptOf([isSharedBlamed ? deadly : "shared"])]);
    await routers.advance(propagationTime);
    expect(isQuarantinedAt(routers, both)).toEqual([1, 2]);
    if (isSharedBlamed) expect(isQuarantinedAt(routers, promptOf(["shared"]))).toEqual([]);
  });
});

describe("a router that starts while the store does not answer", () => {
  it("asks its peers for what they have quarantined", async () => {
    const routers = createQuarantineRouters(3);
    for (let count = 0; count < 3; count += 1) await crash(routers, 0, [promptOf([deadly])]);
    await routers.advance(propagationTime);
    routers.records.cutOffPorts.add(1).add(2).add(3).add(4);
    const later = routers.start(4);
    await routers.advance(1_100);
    expect(later.quarantine.isReady()).toEqual(true);
    expect(isQuarantinedAt(routers, promptOf([deadly]))).toEqual([1, 2, 3, 4]);
  });
});

describe("a model that crashes all its replicas", () => {
  it("is quarantined after more crashes than a part, and for a short time", async () => {
    const routers = createQuarantineRouters(2);
    for (let count = 0; count < 7; count += 1) await crash(routers, 0, [promptOf([`part-${count}`])]);
    expect(isQuarantinedAt(routers, promptOf(["other"]))).toEqual([]);
    for (let count = 0; count < 3; count += 1) await crash(routers, 0, [promptOf([`part-${count + 7}`])]);
    await routers.advance(propagationTime);
    expect(isQuarantinedAt(routers, promptOf(["other"]))).toEqual([1, 2]);
    await routers.advance(quarantineDurations.model + 2_000);
    expect(isQuarantinedAt(routers, promptOf(["other"]))).toEqual([]);
  });
});
