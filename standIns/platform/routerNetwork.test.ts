import { describe, it } from "node:test";
import { expect } from "earl";
import { hosts, isReady, sendRequest, startPlatformSystem, waitUntil } from "./platformSystem.ts";

describe("the network of a router", () => {
  it("passes a reset on as a reset, not as the end of an answer without a length", async () => {
    await using system = await startPlatformSystem({ desks: 1 });
    const { router } = await system.startPartitionable();
    await waitUntil(() => isReady(router));
    const tries = 200;
    system.desks[0]?.setBehaviours(...Array.from({ length: tries }, () => "broken" as const));
    let whole = 0;
    for (let count = 0; count < tries; count += 1) {
      const post = { host: hosts.desk, path: "/post/2f", body: "sign off" };
      const { status, isCut } = await sendRequest(router, post);
      if (status === 200 && !isCut) whole += 1;
    }
    expect(whole).toEqual(0);
  });
});
