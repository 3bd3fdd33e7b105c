/** Replicas that fall over if they have to turn away more than a few requests in a second. */
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type { CallerAnswer, RequestOptions } from "../../standIns/platform/platformSystem.ts";
import {
  hosts,
  isReady,
  sendRequest,
  startPlatformSystem,
  waitUntil,
} from "../../standIns/platform/platformSystem.ts";

const read: RequestOptions = { host: hosts.desk, path: "/read/2f", body: "look up" };

const desks = 8;
const routers = 6;
const slots = 4;
const serviceTime = 200;
/** Requests a second that the places bear. */
const capacity = (desks * slots * 1_000) / serviceTime;

/** How long the replicas are brittle before the load rises, milliseconds: routers know of it by then. */
const noticeTime = 1_500;

const brittleness = { rejections: 4, waiting: 2, recoveryTime: 3_000 } as const;

describe("replicas that say that they are brittle", () => {
  it("fall over no more often than allowed at 1.3 times what they bear, with bursts", async (context) => {
    const desk = { serviceTime, room: { slots, waiting: 8 } };
    await using system = await startPlatformSystem({ desks, desk });
    for (const replica of system.desks) system.register(replica, { slots });
    while (system.routers.length < routers) await system.startRouter();
    await waitUntil(async () =>
      (await Promise.all(system.routers.map((router) => isReady(router)))).every(Boolean),
    );
    const answers: Promise<CallerAnswer>[] = [];
    const send = (): void => {
      const router = system.routers[answers.length % routers];
      if (router !== undefined) answers.push(sendRequest(router, read));
    };
    const sendFor = async (milliseconds: number, perSecond: number, burst: number): Promise<void> => {
      const startedAt = performance.now();
      let sent = 0;
      let bursts = 0;
      while (performance.now() < startedAt + milliseconds) {
        const elapsed = performance.now() - startedAt;
        for (; sent < (elapsed * perSecond) / 1_000; sent += 1) send();
        for (; bursts < elapsed / 2_000; bursts += 1) for (let count = 0; count < burst; count += 1) send();
        await sleep(5);
      }
    };
    await sendFor(500, capacity / 2, 0);
    for (const replica of system.desks) replica.room.setBrittle(brittleness);
    await sendFor(noticeTime, capacity / 2, 0);
    const before = answers.length;
    await sendFor(6_000, capacity * 1.3, 40);
    const counted = (await Promise.all(answers)).slice(before);
    const falls = system.desks.reduce((sum, replica) => sum + replica.room.falls(), 0);
    const served = counted.filter(({ status }) => status === 200).length;
    context.diagnostic(`${falls} falls, ${served} of ${counted.length} served`);
    expect(falls <= 2 + desks / 10).toEqual(true);
    // Half of what the places bear in that time.
    expect(served >= (capacity * 6) / 2).toEqual(true);
  });
});
