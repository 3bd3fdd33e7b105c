/** Callers that don't behave, at the product's own daemon: it outgrew its VM, ended, or answered nobody. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { demoKey, startSystem } from "../../demo/processes.ts";
import type { BodyForm } from "../support/clientCrowd.ts";
import type { Crowd, CrowdTarget } from "../support/crowdTrial.ts";
import { openCrowd, sendCrowd, sendInCalm, unharmed } from "../support/crowdTrial.ts";

const vm = { memoryMegabytes: 256, descriptors: 300 } as const;

/** The largest body that the daemon accepts, bytes. */
const bodyLimit = 8_388_608;

/** The stand-in echoes bodies, and the daemon takes no longer answers than bodies. */
const calmBytes = bodyLimit - 65_536;

/** Bytes that callers with chunks of one byte send. */
const smallChunkBytes = 1_048_576;

const createHead = (announced: number | undefined, key: "known" | "unknown" = "known"): string => {
  const lines = [
    "POST /services/records-desk/attendants HTTP/1.1",
    "host: pomelocleat.example",
    `authorization: Bearer ${key === "known" ? demoKey("petra-wings") : "no-key"}`,
    "content-type: application/json",
    announced === undefined ? "transfer-encoding: chunked" : `content-length: ${announced}`,
  ];
  return `${lines.join("\r\n")}\r\n\r\n`;
};

const callService = async (url: string): Promise<boolean> => {
  const answer = await fetch(`${url}/services/records-desk/attendants`, {
    method: "POST",
    headers: { authorization: `Bearer ${demoKey("petra-wings")}`, "content-type": "application/json" },
    body: JSON.stringify({ attendant: 17 }),
  }).catch(() => undefined);
  await answer?.arrayBuffer().catch(() => undefined);
  return answer?.ok === true;
};

const startTarget = async (): Promise<CrowdTarget> => {
  const system = await startSystem({
    configurationFile: "examples/demo.json",
    routers: ["amman-north"],
    routerSettings: { vm },
  });
  const [router] = system.routers();
  if (router === undefined) throw new Error("The system has no router.");
  const { url, processId } = router.process;
  return {
    host: "127.0.0.1",
    port: Number(new URL(url).port),
    processId,
    headOf: createHead,
    isServing: () => callService(url),
    [Symbol.asyncDispose]: () => system[Symbol.asyncDispose](),
  };
};

const crowds: Readonly<Record<string, Crowd>> = {
  "whole bodies that stop one byte short": {
    callers: 40,
    body: { announced: bodyLimit, pieceBytes: bodyLimit - 1, sentBytes: bodyLimit - 1 },
  },
  "large chunks without an end": {
    callers: 40,
    body: { pieceBytes: 32_768, sentBytes: bodyLimit - 32_768 },
  },
  "chunks of one byte without an end": {
    callers: 12,
    body: { pieceBytes: 1, sentBytes: smallChunkBytes },
  },
  "chunks of one byte with an unknown key": {
    callers: 12,
    key: "unknown",
    body: { pieceBytes: 1, sentBytes: smallChunkBytes },
  },
  "bodies announced far over the limit": {
    callers: 40,
    body: { announced: 2 ** 30, pieceBytes: 65_536, sentBytes: 2 * bodyLimit },
  },
  "chunks far over the limit": {
    callers: 40,
    body: { pieceBytes: 32_768, sentBytes: 2 * bodyLimit },
  },
};

describe("the daemon outlives and serves beside", () => {
  for (const [name, crowd] of Object.entries(crowds)) {
    it(`${name}, at the daemon`, async (test) => {
      await using target = await startTarget();
      expect(await sendCrowd(target, vm, crowd, (text) => test.diagnostic(text))).toEqual(unharmed);
    });
  }

  it("connections with part of a head or nothing, at the daemon", async (test) => {
    await using target = await startTarget();
    const crowd = { callers: 400, texts: ["", "POST /services/records-desk/x HTTP/1.1\r\nhost: "] };
    expect(await openCrowd(target, vm, crowd, (text) => test.diagnostic(text))).toEqual(unharmed);
  });
});

const calmBodies: Readonly<Record<string, BodyForm>> = {
  "a whole body": { announced: calmBytes, pieceBytes: calmBytes, sentBytes: calmBytes },
  "a body in large chunks": { pieceBytes: 32_768, sentBytes: calmBytes, isEnded: true },
  "a body in chunks of one byte": { pieceBytes: 1, sentBytes: calmBytes, isEnded: true },
};

describe("the daemon serves in calm", () => {
  for (const [name, body] of Object.entries(calmBodies)) {
    it(`${name} just below the limit, at the daemon`, async (test) => {
      await using target = await startTarget();
      expect(await sendInCalm(target, vm, body, (text) => test.diagnostic(text))).toEqual({
        status: 200,
        isWithinMemory: true,
      });
    });
  }
});
