/**
 * Upstreams of the product's own interface whose bytes never end: a call that reads on takes memory until its deadline.
 */
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import type { UpstreamError } from "../src/protocol/errors.ts";
import { createResourceStack } from "../src/protocol/resourceStack.ts";
import type { ServiceCall } from "../src/protocol/types.ts";
import { createGuardedAgent } from "../src/transport/connectionGuard.ts";
import { HttpModelEngine } from "../src/transport/HttpModelEngine.ts";
import { HttpPlainService } from "../src/transport/HttpPlainService.ts";
import { timeUntil } from "./support/conditions.ts";
import { createCall } from "./support/engineCall.ts";
import type { EndlessPlace } from "./support/endlessReplica.ts";
import { endlessAnswers, startEndlessReplica } from "./support/endlessReplica.ts";

/** Until a call must have failed, milliseconds. */
const timeout = 5_000;

/** Until the upstream must see then that its connection was closed, milliseconds. */
const closeTimeout = 500;

const serviceCall: ServiceCall = {
  attempt: "attempt-1",
  organisation: "petra-wings",
  method: "POST",
  path: "/sign-offs",
  contentType: "application/json",
  idempotencyKey: undefined,
  body: Buffer.from("{}"),
  timeout,
};

/** @returns The fault of a call to an endless upstream, and whether a connection to it is still open then. */
const faultOf = async (
  place: EndlessPlace,
  call: (url: string, pool: ReturnType<typeof createGuardedAgent>) => Promise<unknown>,
): Promise<{ readonly fault: string; readonly isOpen: boolean }> => {
  await using resources = createResourceStack();
  const endless = resources.use(await startEndlessReplica("endless", place));
  const pool = createGuardedAgent({ connectTimeout: 1_000, pipelining: 1 });
  resources.defer(() => pool.destroy());
  const outcome = call(`http://${endless.address}`, pool).then(
    () => "answered",
    (error: unknown) => (error as UpstreamError).fault,
  );
  const fault = await Promise.race([outcome, sleep(timeout, "unbounded", { ref: false })]);
  const isOpen = (): boolean => endless.connections.some(({ closedAt }) => closedAt === Infinity);
  await timeUntil(closeTimeout, () => !isOpen());
  return { fault, isOpen: isOpen() };
};

const complete = async (url: string, pool: ReturnType<typeof createGuardedAgent>): Promise<void> => {
  const answer = await new HttpModelEngine(url, pool).complete(
    createCall("attempt-1"),
    new AbortController().signal,
  );
  for await (const frames of answer.frames) expect(frames.length).toEqual(0);
};

const places = Object.keys(endlessAnswers) as EndlessPlace[];

describe("an upstream of the product's own interface that sends bytes without end", () => {
  for (const place of places) {
    // A body of another type, and a trailer behind whole chunks, end the stream of an engine in another way.
    if (place !== "trailers")
      it(`is given up by a call to an engine: ${place}`, async () => {
        expect(await faultOf(place, complete)).toEqual({ fault: "endless", isOpen: false });
      });
    it(`is given up by a call to a plain service: ${place}`, async () => {
      const result = await faultOf(place, (url, pool) =>
        new HttpPlainService(url, pool).call(serviceCall, new AbortController().signal),
      );
      expect(result).toEqual({ fault: "endless", isOpen: false });
    });
  }
});
