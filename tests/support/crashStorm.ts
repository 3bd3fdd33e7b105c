/** Requests that crash the engines that run them, no two alike, beside sound ones that share all their other parts. */
import { setTimeout as sleep } from "node:timers/promises";
import type { ForwardingRouter } from "../../src/daemons/forwardingRouter.ts";
import { createResourceStack } from "../../src/protocol/resourceStack.ts";
import type { PlatformSystem, SentPromptPart } from "../../standIns/platform/platformSystem.ts";
import { createPromptHeaders, hosts, sendRequest } from "../../standIns/platform/platformSystem.ts";
import type { CrashingReplicas } from "./crashingReplicas.ts";
import { hasDeadlyPart, startCrashingReplicas } from "./crashingReplicas.ts";
import { startReadySystem } from "./readySystem.ts";
import { waitUntil } from "./conditions.ts";
import { isServed } from "./servedAnswers.ts";

/** Milliseconds in which routers in contact with one another must have agreed. */
export const contactTime = 3_000;

/** Crashes with one part after which at most `allowedArrivals` may still follow, from `contactTime` later on. */
export const decisiveCrashes = 5;
export const allowedArrivals = 3;

/** The prompts of a storm: the ids of the shared parts of each kind of request. */
export interface StormPrompts {
  /** Of crashing requests; several kinds are sent in turn. */
  readonly crashing: readonly (readonly string[])[];
  /** Of sound requests, in turn. */
  readonly sound: readonly (readonly string[])[];
}

/** Requests a second. */
export interface StormRates {
  readonly crashing: number;
  readonly sound: number;
}

/** What callers and engines have seen. */
export interface StormOutcome {
  /** Runs of crashing requests. */
  readonly crashes: number;
  /** Those that began later than the contact time after the fifth. */
  readonly lateArrivals: number;
  /** Share of the sound requests that were served before the storm, and from twice the contact time after the fifth. */
  readonly servedBefore: number;
  readonly servedAfter: number;
}

const partTokens = 200;

let nextRequest = 0;

const createRequest = (parts: readonly string[], key: string | undefined) => {
  nextRequest += 1;
  const own = `0${nextRequest.toString(16).padStart(8, "0")}`;
  const prompt: readonly SentPromptPart[] = [...parts, own].map((id) => ({ id, tokens: partTokens }));
  const headers = createPromptHeaders(prompt, 40);
  const fields = key === undefined ? {} : { key };
  return { host: hosts.model, path: "/ask/2f", body: `request ${nextRequest}`, headers, ...fields };
};

/** A system in which storms are played. */
export interface StormSystem extends AsyncDisposable {
  readonly system: PlatformSystem;
  readonly replicas: CrashingReplicas;
}

export const startStormSystem = async (routers: number, engines: number): Promise<StormSystem> => {
  await using resources = createResourceStack();
  const system = resources.use(await startReadySystem({ desks: 0, engines: 0 }, routers));
  const replicas = resources.use(await startCrashingReplicas(system, { desks: 0, engines }));
  const first = createRequest(["aa000001"], undefined);
  await waitUntil(async () =>
    (await Promise.all(system.routers.map((router) => sendRequest(router, first)))).every(isServed),
  );
  return { system, replicas, ...resources.move() };
};

interface SoundRequest {
  readonly sentAt: number;
  readonly isServed: boolean;
}

const shareServed = (requests: readonly SoundRequest[]): number =>
  requests.filter((request) => request.isServed).length / requests.length;

/** Callers that send requests at a steady rate to the routers in turn, until they are stopped. */
export interface Callers {
  readonly stop: () => Promise<void>;
}

/** @param send - Sends the request with the given number to a router. */
export const startCallers = (
  routers: () => readonly ForwardingRouter[],
  perSecond: number,
  send: (router: ForwardingRouter, number: number) => Promise<void>,
): Callers => {
  const stopped = new AbortController();
  const run = async (): Promise<void> => {
    const sent: Promise<void>[] = [];
    const startedAt = performance.now();
    for (let number = 0; !stopped.signal.aborted; number += 1) {
      const router = routers()[number % routers().length];
      if (router !== undefined) sent.push(send(router, number));
      await sleep(Math.max(0, startedAt + ((number + 1) * 1_000) / perSecond - performance.now()));
    }
    await Promise.all(sent);
  };
  const running = run();
  return {
    stop: () => {
      stopped.abort();
      return running;
    },
  };
};

/** Times of the phases of a storm, milliseconds. */
const phases = { before: 1_500, storm: 9_500 } as const;

/** Sends sound requests, then crashing ones beside them. @param during - Runs beside the storm. */
export const playStorm = async (
  { system, replicas }: StormSystem,
  prompts: StormPrompts,
  rates: StormRates = { crashing: 20, sound: 60 },
  during: () => Promise<void> = () => Promise.resolve(),
): Promise<StormOutcome> => {
  const sound: SoundRequest[] = [];
  const pick = (kinds: readonly (readonly string[])[], number: number): readonly string[] =>
    kinds[number % kinds.length] ?? [];
  const soundCallers = startCallers(
    () => system.routers,
    rates.sound,
    async (router, number) => {
      const sentAt = performance.now();
      const answer = await sendRequest(router, createRequest(pick(prompts.sound, number), undefined));
      sound.push({ sentAt, isServed: isServed(answer) });
    },
  );
  await sleep(phases.before);
  const stormAt = performance.now();
  const crashing = startCallers(
    () => system.routers,
    rates.crashing,
    async (router, number) => {
      await sendRequest(router, createRequest(pick(prompts.crashing, number), undefined));
    },
  );
  await Promise.all([sleep(phases.storm), during()]);
  await crashing.stop();
  await soundCallers.stop();
  const crashedAt = replicas
    .allRuns()
    .filter(hasDeadlyPart)
    .map(({ at }) => at)
    .sort((left, right) => left - right);
  const decidedAt = crashedAt[decisiveCrashes - 1] ?? crashedAt.at(-1) ?? stormAt;
  return {
    crashes: crashedAt.length,
    lateArrivals: crashedAt.filter((at) => at > decidedAt + contactTime).length,
    servedBefore: shareServed(sound.filter(({ sentAt }) => sentAt < stormAt)),
    servedAfter: shareServed(sound.filter(({ sentAt }) => sentAt > decidedAt + 2 * contactTime)),
  };
};
