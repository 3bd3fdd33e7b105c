/** Callers whose bodies stop short, crawl in tiny chunks or exceed the limit, and connections with part of a head. */
import { setTimeout as sleep } from "node:timers/promises";
import { callHeaders, hosts, keys } from "../../standIns/platform/platformSystem.ts";
import type { BodyForm } from "../../tests/support/clientCrowd.ts";
import { openCaller } from "../../tests/support/clientCrowd.ts";
import type { RouterSlot } from "./soakSystem.ts";

/** Callers of each form at each router. */
const callersPerForm = 8;

/** Deadline of their requests, milliseconds. */
const deadline = 10_000;

/** The limit of the configuration is 100,000 bytes. */
const forms: readonly (BodyForm | undefined)[] = [
  { announced: 100_000, pieceBytes: 99_999, sentBytes: 99_999 },
  { announced: 100_000, pieceBytes: 1_000, sentBytes: 99_000 },
  { pieceBytes: 1, sentBytes: 20_000 },
  { pieceBytes: 8_192, sentBytes: 400_000 },
  { announced: 2 ** 30, pieceBytes: 65_536, sentBytes: 1_048_576 },
  undefined,
];

const createHead = (form: BodyForm | undefined, key: string): string => {
  const start = "POST /post/thing HTTP/1.1\r\n";
  if (form === undefined) return start;
  const fields = {
    host: hosts.desk,
    ...callHeaders("crowd", key, deadline),
    ...(form.announced === undefined
      ? { "transfer-encoding": "chunked" }
      : { "content-length": String(form.announced) }),
  };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${start}${lines.join("")}\r\n`;
};

/**
 * Holds a crowd's connections open at all routers.
 *
 * @param target - Decides whether the crowd has a valid key: 0 to 1.
 * @param duration - Milliseconds.
 */
export const holdCrowd = async (
  routers: readonly Pick<RouterSlot, "url">[],
  target: number,
  duration: number,
): Promise<void> => {
  const key = target < 0.7 ? keys.isolated : "no-key";
  const end = sleep(duration);
  const opened = routers.flatMap(({ url }) => {
    const { hostname: host, port } = new URL(url);
    return forms.flatMap((form) =>
      Array.from({ length: callersPerForm }, () =>
        openCaller({ host, port: Number(port) }, createHead(form, key), form),
      ),
    );
  });
  const callers = await Promise.all(opened);
  await end;
  for (const caller of callers) await caller[Symbol.asyncDispose]();
};
