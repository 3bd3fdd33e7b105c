/** A router dies or freezes at each point of a request that may run at most once; its caller retries elsewhere. */
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { startSystem } from "../../demo/processes.ts";
import type { System, SystemProcess } from "../../demo/processes.ts";
import { logStreams } from "../../src/protocol/constants.ts";
import type { Caller, CallerResult } from "./caller.ts";
import { createCaller, newKey, signOff } from "./caller.ts";
import { countExecutionsByKey, setFaults } from "./standInControl.ts";

const pollInterval = 5;
/** Long enough for a router to be killed while the call runs. */
const workMilliseconds = 300;
/** Outcomes are recorded this soon after an answer, with room to spare. */
const recordedAfter = 1_000;

describe("a router that dies with a sign-off under way", () => {
  let system: System;
  let caller: Caller;
  let survivor: string;
  let victims = 0;

  before(async () => {
    system = await startSystem({
      configurationFile: "examples/demo.json",
      routers: ["amman-north"],
      standIns: { service: { workMilliseconds } },
    });
    survivor = system.routers()[0]?.process.url ?? "";
    caller = createCaller(() => [survivor]);
  });

  after(async () => {
    await caller[Symbol.asyncDispose]();
    await system[Symbol.asyncDispose]();
  });

  const startVictim = async (): Promise<SystemProcess> => {
    victims += 1;
    const victim = await system.startRouter(`victim-${victims}`, "amman-north");
    while (!(await fetch(`${victim.process.url}/readyz`)).ok) await sleep(pollInterval);
    return victim;
  };

  const kill = async ({ process }: SystemProcess): Promise<void> => {
    process.kill("SIGKILL");
    await process.ended;
  };

  const runs = async (key: string): Promise<number> => (await countExecutionsByKey(system)).get(key) ?? 0;

  /** Claims alone: routers append renewals of their leases at any time. */
  const countClaims = async (): Promise<number> => {
    const answer = await fetch(`${system.logService.url}/stand-in/state`);
    const { streams } = (await answer.json()) as { readonly streams: Readonly<Record<string, number>> };
    const claims = Object.entries(streams).filter(([name]) => name.startsWith(logStreams.claimsPrefix));
    return claims.reduce((sum, [, count]) => sum + count, 0);
  };

  const told = ({ status, outcome, code }: CallerResult): string => `${status} ${outcome} ${code}`.trim();

  it("before its claim: the retry runs", async () => {
    const victim = await startVictim();
    const key = newKey();
    await setFaults(system.logService.url, { outage: true });
    const first = caller.send(victim.process.url, signOff(key));
    await sleep(pollInterval * 10);
    await kill(victim);
    expect((await first).outcome).toEqual("cut");
    await setFaults(system.logService.url, { outage: false });
    expect(told(await caller.sendWithRetries(signOff(key)))).toEqual("200 answered");
    expect(await runs(key)).toEqual(1);
  });

  it("between claim and dispatch: the retry is told that the outcome is unknown, and nothing runs", async () => {
    const victim = await startVictim();
    const key = newKey();
    const claims = await countClaims();
    await setFaults(system.logService.url, { loseAppendAnswers: 1_000_000 });
    const first = caller.send(victim.process.url, signOff(key));
    while ((await countClaims()) === claims) await sleep(pollInterval);
    await kill(victim);
    expect((await first).outcome).toEqual("cut");
    await setFaults(system.logService.url, { loseAppendAnswers: 0 });
    expect(told(await caller.sendWithRetries(signOff(key)))).toEqual("409 outcome_unknown already_claimed");
    expect(await runs(key)).toEqual(0);
  });

  it("after dispatch: the retry is told that the outcome is unknown, and it has run once", async () => {
    const victim = await startVictim();
    const key = newKey();
    const first = caller.send(victim.process.url, signOff(key));
    while ((await runs(key)) === 0) await sleep(pollInterval);
    await kill(victim);
    expect((await first).outcome).toEqual("cut");
    expect(told(await caller.sendWithRetries(signOff(key)))).toEqual("409 outcome_unknown already_claimed");
    expect(await runs(key)).toEqual(1);
  });

  it("after its answer: the retry gets the same answer, and it has run once", async () => {
    const victim = await startVictim();
    const key = newKey();
    const first = await caller.send(victim.process.url, signOff(key));
    expect(told(first)).toEqual("200 answered");
    await sleep(recordedAfter);
    await kill(victim);
    const again = await caller.sendWithRetries(signOff(key));
    expect([told(again), again.text]).toEqual(["200 answered", first.text]);
    expect(await runs(key)).toEqual(1);
  });

  it("or freezes before it learns of its claim: it runs at one router at most", async () => {
    const victim = await startVictim();
    const key = newKey();
    const claims = await countClaims();
    await setFaults(system.logService.url, { loseAppendAnswers: 1_000_000 });
    const first = caller.send(victim.process.url, signOff(key));
    while ((await countClaims()) === claims) await sleep(pollInterval);
    victim.process.kill("SIGSTOP");
    await setFaults(system.logService.url, { loseAppendAnswers: 0 });
    const second = await caller.sendWithRetries(signOff(key));
    victim.process.kill("SIGCONT");
    const woken = await first;
    // Whoever holds the claim may run it; the other one must not. The victim may also have woken too late.
    const answered = [told(second), told(woken)].filter((result) => result === "200 answered").length;
    expect(answered <= 1).toEqual(true);
    expect(await runs(key)).toEqual(answered);
  });
});
