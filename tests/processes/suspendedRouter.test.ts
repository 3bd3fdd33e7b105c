/**
 * A router whose VM is suspended for longer than a key may be served after it was taken away, and which is cut off from
 * the store when it is back. By its steady clock no time has passed: its proof of the configuration looked fresh, and it
 * served the key that was gone. In the first run of this test the request was answered 200, run by the replica 4 s after
 * the key had been taken away, where 2 s are allowed.
 */
import { request } from "node:http";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { bounds, startSoakSystem, suspendableProgram } from "../../soak/platform/soakSystem.ts";
import { callHeaders, createConfiguration, hosts, keys } from "../../standIns/platform/platformSystem.ts";

/** Longest time until a router that hears the store again serves, milliseconds. */
const longestUnready = 5_000;

let asked = 0;

/** @returns The status of the answer; 0 without one. */
const read = (url: string, key: string): Promise<number> =>
  new Promise((resolve) => {
    asked += 1;
    const { hostname, port } = new URL(url);
    const headers = { ...callHeaders(`suspended-${asked}`, key, 3_000), host: hosts.desk };
    const sent = request(
      { hostname, port, method: "POST", path: "/read/2f", agent: false, headers },
      (answer) => {
        answer.resume();
        resolve(answer.statusCode ?? 0);
      },
    );
    sent.on("error", () => resolve(0));
    sent.end("look up");
  });

describe("a router whose VM was suspended", { timeout: 60_000 }, () => {
  it("serves no key that was taken away meanwhile, and serves others as soon as it hears the store", async () => {
    await using system = await startSoakSystem(
      { routers: 1, engines: 1, desks: 1 },
      // The process's id keeps runs beside one another apart.
      process.pid,
      suspendableProgram,
    );
    const [place] = system.routers;
    if (place === undefined) throw new Error("There is no router.");
    while ((await read(place.url, keys.known)) !== 200) await sleep(50);
    place.process?.kill("SIGSTOP");
    const { tenants } = createConfiguration();
    system.publish(2, { tenants: tenants.filter(({ name }) => name !== "one") });
    place.storeProxy.setMode("silent");
    await sleep(2 * bounds.keyRevocation);
    place.process?.kill("SIGCONT");
    const statuses: number[] = [];
    for (let turn = 0; turn < 10; turn += 1) statuses.push(await read(place.url, keys.known));
    expect(statuses.every((status) => status === 503 || status === 401)).toEqual(true);
    place.storeProxy.setMode("reset");
    await sleep(100);
    place.storeProxy.setMode("pass");
    const heardAt = performance.now();
    while ((await read(place.url, keys.isolated)) !== 200) await sleep(50);
    expect(performance.now() - heardAt < longestUnready).toEqual(true);
    expect(await read(place.url, keys.known)).toEqual(401);
  });
});
