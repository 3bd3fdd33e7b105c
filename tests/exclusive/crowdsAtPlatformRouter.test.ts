/** Callers that don't behave, at a router process of the users' platform: it ended, or outgrew its VM. */
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import { expect } from "earl";
import { callHeaders, createConfiguration, hosts, keys } from "../../standIns/platform/platformSystem.ts";
import type { BodyForm } from "../support/clientCrowd.ts";
import type { Crowd, CrowdTarget, VmBounds } from "../support/crowdTrial.ts";
import { openCrowd, sendCrowd, sendInCalm, unharmed } from "../support/crowdTrial.ts";
import { startDeskSystem } from "../support/deskSystem.ts";
import { startRouterProcess } from "../support/routerProcess.ts";

const vm = { memoryMegabytes: 160, descriptors: 300 } as const;

/** The options of Node.js in the deploy file. */
const runtimeOptions = (/^run = "node (.*)"$/m.exec(readFileSync("deploy/system.toml", "utf8"))?.[1] ?? "")
  .split(" ")
  .filter((word) => word.startsWith("--"));

/** The largest body that the configuration allows, bytes. */
const bodyLimit = 4_194_304;

/** The same where a body is sent in chunks of one byte, bytes. */
const lowBodyLimit = 1_048_576;

/** Deadline of the crowd's requests, milliseconds. */
const longDeadline = 60_000;

const createLimitedConfiguration = (maxBodyBytes: number) => {
  const { limits, routes, ...rest } = createConfiguration();
  return {
    ...rest,
    routes: routes.map((route) => ({ ...route, timeoutMs: longDeadline })),
    limits: { ...limits, maxBodyBytes },
  };
};

const createHead = (announced: number | undefined, key: "known" | "unknown" = "known"): string => {
  const fields = {
    host: hosts.desk,
    ...callHeaders("crowd", key === "known" ? keys.known : "no-key", longDeadline),
    ...(announced === undefined ? { "transfer-encoding": "chunked" } : { "content-length": `${announced}` }),
  };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return `POST /post/thing HTTP/1.1\r\n${lines.join("")}\r\n`;
};

const startTarget = async (maxBodyBytes: number, limits: VmBounds = vm): Promise<CrowdTarget> => {
  const system = await startDeskSystem(["desk-0"], {}, createLimitedConfiguration(maxBodyBytes));
  const router = await startRouterProcess("router-0", system.store.address, {
    settings: { vm: limits },
    runtimeOptions,
  });
  return {
    host: "127.0.0.1",
    port: router.port,
    processId: router.processId,
    headOf: createHead,
    isServing: async () => (await router.read()) === 200,
    [Symbol.asyncDispose]: async () => {
      await router[Symbol.asyncDispose]();
      await system[Symbol.asyncDispose]();
    },
  };
};

const large = { callers: 48, bodyLimit } as const;

const crowds: Readonly<Record<string, Crowd & { readonly bodyLimit: number }>> = {
  "whole bodies that stop one byte short": {
    ...large,
    body: { announced: bodyLimit, pieceBytes: bodyLimit - 1, sentBytes: bodyLimit - 1 },
  },
  "bodies in pieces that stop one byte short": {
    ...large,
    body: { announced: bodyLimit, pieceBytes: 4_096, sentBytes: bodyLimit - 1 },
  },
  "large chunks without an end": {
    ...large,
    body: { pieceBytes: 32_768, sentBytes: bodyLimit - 32_768 },
  },
  "chunks of one byte without an end": {
    callers: 6,
    bodyLimit: lowBodyLimit,
    body: { pieceBytes: 1, sentBytes: lowBodyLimit - 1 },
  },
  "bodies announced far over the limit": {
    ...large,
    body: { announced: 2 ** 30, pieceBytes: 65_536, sentBytes: 4 * bodyLimit },
  },
  "chunks far over the limit": {
    ...large,
    body: { pieceBytes: 32_768, sentBytes: 4 * bodyLimit },
  },
  "whole bodies with an unknown key": {
    ...large,
    key: "unknown",
    body: { announced: bodyLimit, pieceBytes: bodyLimit - 1, sentBytes: bodyLimit - 1 },
  },
};

describe("the platform's router outlives and serves beside", () => {
  for (const [name, crowd] of Object.entries(crowds)) {
    it(`${name}, at the platform's router`, async (test) => {
      await using target = await startTarget(crowd.bodyLimit);
      expect(await sendCrowd(target, vm, crowd, (text) => test.diagnostic(text))).toEqual(unharmed);
    });
  }

  it("connections with part of a head or nothing, at the platform's router", async (test) => {
    await using target = await startTarget(bodyLimit);
    const crowd = { callers: 400, texts: ["", "POST /post/thing HTTP/1.1\r\nhost: "] };
    expect(await openCrowd(target, vm, crowd, (text) => test.diagnostic(text))).toEqual(unharmed);
  });
});

describe("the platform's router outlives", () => {
  it("connections with long parts of heads, at the platform's router", async (test) => {
    const largeVm = { ...vm, descriptors: 3_075 };
    await using target = await startTarget(bodyLimit, largeVm);
    const crowd = { callers: 1_700, texts: [`POST /post/thing HTTP/1.1\r\nx-long: ${"x".repeat(60_000)}`] };
    expect(await openCrowd(target, largeVm, crowd, (text) => test.diagnostic(text))).toEqual(unharmed);
  });
});

const calmBodies: Readonly<Record<string, BodyForm>> = {
  "a whole body": { announced: bodyLimit, pieceBytes: bodyLimit, sentBytes: bodyLimit },
  "a body in pieces": { announced: bodyLimit, pieceBytes: 4_096, sentBytes: bodyLimit },
  "a body in large chunks": { pieceBytes: 32_768, sentBytes: bodyLimit, isEnded: true },
  "a body in chunks of one byte": { pieceBytes: 1, sentBytes: bodyLimit, isEnded: true },
};

describe("the platform's router serves in calm", () => {
  for (const [name, body] of Object.entries(calmBodies)) {
    it(`${name} of the size of the limit, at the platform's router`, async (test) => {
      await using target = await startTarget(bodyLimit);
      expect(await sendInCalm(target, vm, body, (text) => test.diagnostic(text))).toEqual({
        status: 200,
        isWithinMemory: true,
      });
    });
  }
});
