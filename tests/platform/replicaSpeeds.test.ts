import { afterEach, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import {
  defaultPromptHeaders,
  hosts,
  isReady,
  sendRequest,
  startPlatformSystem,
  waitUntil,
} from "../../standIns/platform/platformSystem.ts";
import { setLogSink } from "../../src/state/log.ts";

/** Sends prompts that share no parts to all routers in turn, and waits for their answers. */
const sendPrompts = async (
  { routers }: Awaited<ReturnType<typeof startPlatformSystem>>,
  count: number,
  pause: number,
): Promise<void> => {
  const answers: Promise<unknown>[] = [];
  for (let number = 0; number < count; number += 1) {
    const router = routers[number % routers.length];
    if (router === undefined) throw new Error("no router runs");
    const headers = defaultPromptHeaders((0x10000000 + number).toString(16));
    answers.push(sendRequest(router, { host: hosts.model, path: "/ask/2f", body: "ask", headers }));
    await sleep(pause);
  }
  await Promise.all(answers);
};

/** @returns The replicas of which routers logged a prefill rate. */
const measuredReplicas = async (
  routerCount: number,
  minSpread: number | undefined,
): Promise<Set<unknown>> => {
  const replicas = new Set<unknown>();
  setLogSink((_, event, fields) => {
    if (event === "prefill_rate_changed") replicas.add(fields.replica);
  });
  await using system = await startPlatformSystem({
    engine: { firstEventDelay: 80 },
    ...(minSpread === undefined ? {} : { load: { replicaSpeeds: { minSpread } } }),
  });
  while (system.routers.length < routerCount) await system.startRouter();
  await waitUntil(async () => (await Promise.all(system.routers.map(isReady))).every(Boolean));
  await sendPrompts(system, 200, 15);
  return replicas;
};

describe("prefill rates in running routers", () => {
  afterEach(() => setLogSink(() => undefined));

  // Both ways in which routers learn of each other's work have to carry the tokens.
  for (const routerCount of [2, 10]) {
    it(`are measured at engines that are never idle, by ${routerCount} routers`, async () => {
      expect((await measuredReplicas(routerCount, 1.5)).size).toEqual(2);
    });
  }

  it("are not measured without the setting", async () => {
    expect((await measuredReplicas(2, undefined)).size).toEqual(0);
  });
});
