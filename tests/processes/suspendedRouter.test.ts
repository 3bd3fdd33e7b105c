/**
 * A router whose VM is suspended for longer than the allowed delay of a key's revocation, and which can't reach the store
 * after it resumes. Its monotonic clock doesn't count the suspension, so its proof of the configuration seemed current
 * and it accepted the revoked key: the request got 200 and a replica ran it 4 s after the revocation, where 2 s are
 * allowed.
 */
import { request } from "node:http";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { bounds, startSoakSystem, suspendableProgram } from "../../soak/platform/soakSystem.ts";
import { callHeaders, createConfiguration, hosts, keys } from "../../standIns/platform/platformSystem.ts";

/** Maximum time from the store's return until the router serves requests, milliseconds. */
const maxRecoveryTime = 5_000;

let requestCount = 0;

/** @returns The status of the response; 0 if there was none. */
const sendRead = (url: string, key: string): Promise<number> =>
  new Promise((resolve) => {
    requestCount += 1;
    const { hostname, port } = new URL(url);
    const headers = { ...callHeaders(`suspended-${requestCount}`, key, 3_000), host: hosts.desk };
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
  it("rejects a key that was revoked meanwhile, and serves other keys once it can read the store again", async () => {
    await using system = await startSoakSystem(
      { routers: 1, engines: 1, desks: 1 },
      // The process id keeps parallel runs apart.
      process.pid,
      suspendableProgram,
    );
    const [router] = system.routers;
    if (router === undefined) throw new Error("There is no router.");
    while ((await sendRead(router.url, keys.known)) !== 200) await sleep(50);
    router.process?.kill("SIGSTOP");
    const { tenants } = createConfiguration();
    system.publish(2, { tenants: tenants.filter(({ name }) => name !== "one") });
    router.storeProxy.setMode("silent");
    await sleep(2 * bounds.keyRevocation);
    router.process?.kill("SIGCONT");
    const statuses: number[] = [];
    for (let attempt = 0; attempt < 10; attempt += 1) statuses.push(await sendRead(router.url, keys.known));
    expect(statuses.every((status) => status === 503 || status === 401)).toEqual(true);
    router.storeProxy.setMode("reset");
    await sleep(100);
    router.storeProxy.setMode("pass");
    const reconnectedAt = performance.now();
    while ((await sendRead(router.url, keys.isolated)) !== 200) await sleep(50);
    expect(performance.now() - reconnectedAt < maxRecoveryTime).toEqual(true);
    expect(await sendRead(router.url, keys.known)).toEqual(401);
  });
});
