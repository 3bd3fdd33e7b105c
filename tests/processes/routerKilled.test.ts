/** A router is killed or stopped at each stage of a non-idempotent request, and the caller retries at another router. */
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
/** Long enough to kill a router while the service runs the request. */
const workMilliseconds = 300;
/** Milliseconds after an answer by which its outcome is surely in the log. */
const outcomeRecordingDelay = 1_000;

describe("a non-idempotent request whose router is killed or stopped", () => {
  let system: System;
  let caller: Caller;
  let survivor: string;
  let victimCount = 0;

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
    victimCount += 1;
    const victim = await system.startRouter(`victim-${victimCount}`, "amman-north");
    while (!(await fetch(`${victim.process.url}/readyz`)).ok) await sleep(pollInterval);
    return victim;
  };

  const kill = async ({ process }: SystemProcess): Promise<void> => {
    process.kill("SIGKILL");
    await process.ended;
  };

  const countExecutions = async (key: string): Promise<number> =>
    (await countExecutionsByKey(system)).get(key) ?? 0;

  /** Counts only records of claims, since routers append lease renewals at any time. */
  const countClaims = async (): Promise<number> => {
    const answer = await fetch(`${system.logService.url}/stand-in/state`);
    const { streams } = (await answer.json()) as { readonly streams: Readonly<Record<string, number>> };
    const claims = Object.entries(streams).filter(([name]) => name.startsWith(logStreams.claimsPrefix));
    return claims.reduce((sum, [, count]) => sum + count, 0);
  };

  const describeResult = ({ status, outcome, code }: CallerResult): string =>
    `${status} ${outcome} ${code}`.trim();

  it("runs when retried after a kill before the claim", async () => {
    const victim = await startVictim();
    const key = newKey();
    await setFaults(system.logService.url, { outage: true });
    const first = caller.send(victim.process.url, signOff(key));
    await sleep(pollInterval * 10);
    await kill(victim);
    expect((await first).outcome).toEqual("cut");
    await setFaults(system.logService.url, { outage: false });
    expect(describeResult(await caller.sendWithRetries(signOff(key)))).toEqual("200 answered");
    expect(await countExecutions(key)).toEqual(1);
  });

  it("has an unknown outcome and does not run when retried after a kill between claim and dispatch", async () => {
    const victim = await startVictim();
    const key = newKey();
    const claims = await countClaims();
    await setFaults(system.logService.url, { loseAppendAnswers: 1_000_000 });
    const first = caller.send(victim.process.url, signOff(key));
    while ((await countClaims()) === claims) await sleep(pollInterval);
    await kill(victim);
    expect((await first).outcome).toEqual("cut");
    await setFaults(system.logService.url, { loseAppendAnswers: 0 });
    expect(describeResult(await caller.sendWithRetries(signOff(key)))).toEqual(
      "409 outcome_unknown already_claimed",
    );
    expect(await countExecutions(key)).toEqual(0);
  });

  it("has an unknown outcome and has run once when retried after a kill after dispatch", async () => {
    const victim = await startVictim();
    const key = newKey();
    const first = caller.send(victim.process.url, signOff(key));
    while ((await countExecutions(key)) === 0) await sleep(pollInterval);
    await kill(victim);
    expect((await first).outcome).toEqual("cut");
    expect(describeResult(await caller.sendWithRetries(signOff(key)))).toEqual(
      "409 outcome_unknown already_claimed",
    );
    expect(await countExecutions(key)).toEqual(1);
  });

  it("gets the same answer and has run once when retried after a kill after the answer", async () => {
    const victim = await startVictim();
    const key = newKey();
    const first = await caller.send(victim.process.url, signOff(key));
    expect(describeResult(first)).toEqual("200 answered");
    await sleep(outcomeRecordingDelay);
    await kill(victim);
    const again = await caller.sendWithRetries(signOff(key));
    expect([describeResult(again), again.text]).toEqual(["200 answered", first.text]);
    expect(await countExecutions(key)).toEqual(1);
  });

  it("runs through one router at most when its router is stopped before the claim is acknowledged", async () => {
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
    const resumed = await first;
    // Only the router that holds the claim may run the request; the victim may also have resumed after its deadline.
    const answered = [describeResult(second), describeResult(resumed)].filter(
      (result) => result === "200 answered",
    ).length;
    expect(answered <= 1).toEqual(true);
    expect(await countExecutions(key)).toEqual(answered);
  });
});
