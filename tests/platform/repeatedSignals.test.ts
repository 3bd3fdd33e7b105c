/** Several signals at one router process. */
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { waitUntil } from "../support/conditions.ts";
import { startDeskSystem } from "../support/deskSystem.ts";
import { startRouterProcess } from "../support/routerProcess.ts";

/** Shorter than the grace time of the router, milliseconds. */
const serviceTime = 350;

describe("a router that is asked to end more than once", () => {
  it("serves a request within the grace time: a second SIGTERM cut it off", async () => {
    await using system = await startDeskSystem(["desk-0"], { serviceTime });
    const { desk } = system;
    await using router = await startRouterProcess("router-0", system.store.address);
    await waitUntil(async () => (await router.read()) === 200);
    const before = desk.runs.length;
    const request = router.read();
    await waitUntil(() => desk.runs.length > before);
    for (const signal of ["SIGTERM", "SIGTERM", "SIGINT", "SIGHUP", "SIGTERM"] as const) {
      router.kill(signal);
      await sleep(30);
    }
    expect(await request).toEqual(200);
    expect(await router.ended).toEqual({ code: 0, signal: null });
  });
});
