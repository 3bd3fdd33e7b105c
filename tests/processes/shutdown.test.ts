/** Graceful shutdown: running streams complete, and refused requests have not run. */
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { startSystem } from "../../demo/processes.ts";
import type { System } from "../../demo/processes.ts";
import { headers } from "../../src/protocol/constants.ts";
import type { CallerResult } from "./caller.ts";
import { createCaller, newKey, signOff, streamedQuestion } from "./caller.ts";
import { countExecutionsByKey } from "./standInControl.ts";

const pollInterval = 10;
/** Short, so that the test waits less for idle connections to close; callers learn it from the response headers. */
const callerKeepAlive = 3_000;

const start = (routers: number): Promise<System> =>
  startSystem({
    configurationFile: "examples/demo.json",
    routers: Array.from({ length: routers }, () => "amman-north"),
    routerSettings: { callerKeepAlive },
  });

const urlsOf = (system: System): readonly string[] => system.routers().map(({ process }) => process.url);

describe("a router that receives SIGTERM", () => {
  it("finishes its streams, refuses new requests as not_run, and exits with code 0", async () => {
    await using system = await start(1);
    const [router] = system.routers();
    const url = router?.process.url ?? "";
    await using caller = createCaller(() => [url]);
    const undisturbed = await caller.send(url, streamedQuestion("Is attendant 17 current?", 200));
    const running = caller.send(url, streamedQuestion("Is attendant 17 current?", 200));
    await sleep(pollInterval * 5);
    router?.process.kill("SIGTERM");
    while ((await fetch(`${url}/readyz`)).ok) await sleep(pollInterval);
    // A second signal changes nothing.
    router?.process.kill("SIGTERM");
    const refused = await caller.send(url, signOff(newKey()));
    expect([refused.status, refused.outcome, refused.code]).toEqual([503, "not_run", "shutting_down"]);
    expect([refused.headers[headers.retryAfter], refused.headers.connection]).toEqual(["1", "close"]);
    const finished = await running;
    expect([finished.outcome, finished.text]).toEqual(["answered", undisturbed.text]);
    expect(await router?.process.ended).toEqual({ code: 0, signal: null });
    expect(await countExecutionsByKey(system)).toEqual(new Map());
  });
});

describe("replacing all routers one after another under load", () => {
  it("fails no request", async () => {
    await using system = await start(3);
    await using caller = createCaller(() => urlsOf(system));
    const question = streamedQuestion("Summarise the course.", 60);
    const undisturbed = await caller.sendWithRetries(question);
    const failures: CallerResult[] = [];
    const keys: string[] = [];
    let isLoading = true;
    let streams = 0;

    const loadStreams = async (): Promise<void> => {
      while (isLoading) {
        const result = await caller.sendWithRetries(question);
        streams += 1;
        if (result.outcome !== "answered" || result.text !== undisturbed.text) failures.push(result);
      }
    };
    const loadSignOffs = async (): Promise<void> => {
      while (isLoading) {
        const key = newKey();
        const result = await caller.sendWithRetries(signOff(key));
        keys.push(key);
        if (result.outcome !== "answered") failures.push(result);
        await sleep(pollInterval);
      }
    };

    const load = Promise.all([...Array.from({ length: 8 }, loadStreams), loadSignOffs(), loadSignOffs()]);
    const replaced = system.routers();
    try {
      for (const [index, old] of replaced.entries()) {
        await system.startRouter(`replacement-${index}`, old.dataCentre);
        old.process.kill("SIGTERM");
      }
      await Promise.all(replaced.map(({ process }) => process.ended));
    } finally {
      isLoading = false;
      await load;
    }
    expect(await Promise.all(replaced.map(({ process }) => process.ended))).toEqual(
      Array.from({ length: 3 }, () => ({ code: 0, signal: null })),
    );
    expect(failures).toEqual([]);
    expect(streams > 20 && keys.length > 20).toEqual(true);
    const executions = await countExecutionsByKey(system);
    expect(keys.filter((key) => executions.get(key) !== 1)).toEqual([]);
  });
});
