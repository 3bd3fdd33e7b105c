/** Within seconds, no router sends new requests to an upstream that is leaving, and its running requests complete. */
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { startSystem } from "../../demo/processes.ts";
import type { System } from "../../demo/processes.ts";
import type { CallerResult } from "./caller.ts";
import { createCaller, newKey, signOff, streamedQuestion } from "./caller.ts";
import { listExecutions, setFaults, waitForEngines } from "./standInControl.ts";

const pollInterval = 5;
/** The delay of the VM list, milliseconds. */
const lagMilliseconds = 1_000;
/** Milliseconds after which a leaving upstream receives no new requests. */
const noNewWorkAfter = 3_000;
const observationPeriod = 700;
const longRequest = streamedQuestion("Summarise all courses.", 2_200);

type AnnounceLeaving = (system: System, upstream: string) => Promise<void>;

const announceInVmList: AnnounceLeaving = async (system, upstream) => {
  const path = `/stand-in/vms/${upstream}`;
  await fetch(`${system.vmList.url}${path}`, { method: "POST", body: JSON.stringify({ state: "leaving" }) });
};

const announceByUpstream: AnnounceLeaving = async (system, upstream) => {
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

const fetchAttempts = async (system: System, upstream: string): Promise<readonly string[]> =>
  (await listExecutions(system)).filter((item) => item.upstream === upstream).map(({ attempt }) => attempt);

/** @returns The name of the engine that runs the long request. */
const findBusyEngine = async (system: System): Promise<string> => {
  for (;;) {
    const running = (await listExecutions(system)).find(({ state }) => state === "running");
    if (running !== undefined) return running.upstream;
    await sleep(pollInterval);
  }
};

describe("an upstream that is leaving", () => {
  const announcements: readonly (readonly [string, AnnounceLeaving])[] = [
    ["announced by a delayed VM list", announceInVmList],
    ["announced by the upstream itself", announceByUpstream],
  ];
  for (const [name, announce] of announcements) {
    it(`gets no new requests, and its running requests complete: ${name}`, async () => {
      await using system = await start();
      await waitForEngines(system);
      const urls = system.routers().map(({ process }) => process.url);
      await using caller = createCaller(() => urls);
      const failures: CallerResult[] = [];
      let isLoading = true;
      const sendContinuously = async (sendOne: () => Promise<CallerResult>): Promise<void> => {
        while (isLoading) {
          const result = await sendOne();
          if (result.outcome !== "answered") failures.push(result);
        }
      };
      // Sent twice: the two may run on different engines, and the text is deterministic, so both results must be equal.
      const long = Promise.all([caller.sendWithRetries(longRequest), caller.sendWithRetries(longRequest)]);
      const engine = await findBusyEngine(system);
      const service = "records-desk-0";
      const loads = [
        ...[0, 1, 2].map((index) =>
          sendContinuously(() => caller.sendWithRetries(streamedQuestion(`Is ${index} current?`, 4))),
        ),
        ...[0, 1].map(() => sendContinuously(() => caller.sendWithRetries(signOff(newKey())))),
      ];
      try {
        await announce(system, engine);
        await announce(system, service);
        await sleep(noNewWorkAfter);
        const before = [await fetchAttempts(system, engine), await fetchAttempts(system, service)];
        await sleep(observationPeriod);
        expect([await fetchAttempts(system, engine), await fetchAttempts(system, service)]).toEqual(before);
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
