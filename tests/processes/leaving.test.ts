/** An upstream that is leaving gets no new work after a few seconds from any router; what runs there ends whole. */
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { startSystem } from "../../demo/processes.ts";
import type { System } from "../../demo/processes.ts";
import type { CallerResult } from "./caller.ts";
import { createCaller, newKey, signOff, streamedQuestion } from "./caller.ts";
import { listExecutions, setFaults, waitForEngines } from "./standInControl.ts";

const pollInterval = 5;
/** The platform's list is late by this much. */
const lagMilliseconds = 1_000;
/** What callers are promised. */
const noNewWorkAfter = 3_000;
const watchedFor = 700;
const longAnswer = streamedQuestion("Summarise all courses.", 2_200);

type Announce = (system: System, upstream: string) => Promise<void>;

const byList: Announce = async (system, upstream) => {
  const path = `/stand-in/vms/${upstream}`;
  await fetch(`${system.vmList.url}${path}`, { method: "POST", body: JSON.stringify({ state: "leaving" }) });
};

const byItself: Announce = async (system, upstream) => {
  const found = system.processes().find(({ name }) => name === upstream);
  await setFaults(found?.process.url ?? "", { leaving: true });
};

const start = (): Promise<System> =>
  startSystem({
    configurationFile: "examples/demo.json",
    routers: ["amman-north", "amman-north", "catania-a"],
    standIns: { vmList: { lagMilliseconds } },
    routerSettings: { vmListInterval: 1_000 },
  });

const attemptsAt = async (system: System, upstream: string): Promise<readonly string[]> =>
  (await listExecutions(system)).filter((item) => item.upstream === upstream).map(({ attempt }) => attempt);

/** The engine that has begun the long answer. */
const findBusyEngine = async (system: System): Promise<string> => {
  for (;;) {
    const running = (await listExecutions(system)).find(({ state }) => state === "running");
    if (running !== undefined) return running.upstream;
    await sleep(pollInterval);
  }
};

describe("an upstream that is leaving", () => {
  const ways: readonly (readonly [string, Announce])[] = [
    ["as the VM list says, late", byList],
    ["as it says itself", byItself],
  ];
  for (const [name, announce] of ways) {
    it(`gets no new work, and its running work ends whole: ${name}`, async () => {
      await using system = await start();
      await waitForEngines(system);
      const urls = system.routers().map(({ process }) => process.url);
      await using caller = createCaller(() => urls);
      const failures: CallerResult[] = [];
      let isLoading = true;
      const load = async (ask: () => Promise<CallerResult>): Promise<void> => {
        while (isLoading) {
          const result = await ask();
          if (result.outcome !== "answered") failures.push(result);
        }
      };
      // The same twice: the text is deterministic, and they may run at different engines.
      const long = Promise.all([caller.sendWithRetries(longAnswer), caller.sendWithRetries(longAnswer)]);
      const engine = await findBusyEngine(system);
      const service = "records-desk-0";
      const loads = [
        ...[0, 1, 2].map((index) =>
          load(() => caller.sendWithRetries(streamedQuestion(`Is ${index} current?`, 4))),
        ),
        ...[0, 1].map(() => load(() => caller.sendWithRetries(signOff(newKey())))),
      ];
      try {
        await announce(system, engine);
        await announce(system, service);
        await sleep(noNewWorkAfter);
        const before = [await attemptsAt(system, engine), await attemptsAt(system, service)];
        await sleep(watchedFor);
        expect([await attemptsAt(system, engine), await attemptsAt(system, service)]).toEqual(before);
      } finally {
        isLoading = false;
        await Promise.all(loads);
      }
      const [first, second] = await long;
      expect([first.outcome, second.outcome, first.text === second.text]).toEqual([
        "answered",
        "answered",
        true,
      ]);
      expect(failures).toEqual([]);
    });
  }
});
