/** Streams whose end only their connection marks, in each way of ending, and how they reach their callers. */
import { connect } from "node:net";
import { describe, it } from "node:test";
import { expect } from "earl";
import type { ForwardingRouter } from "../../src/daemons/forwardingRouter.ts";
import type { PlatformSystem } from "../../standIns/platform/platformSystem.ts";
import {
  callHeaders,
  defaultPromptHeaders,
  hosts,
  keys,
  sendRequest,
  startPlatformSystem,
} from "../../standIns/platform/platformSystem.ts";
import type { RawStream } from "../../standIns/platform/rawStreams.ts";
import { brokenStreams, createRawStream } from "../../standIns/platform/rawStreams.ts";
import type { Behaviour } from "../../standIns/platform/replica.ts";

const ask = {
  host: hosts.model,
  path: "/ask/2f",
  body: "summarise",
  headers: defaultPromptHeaders(),
} as const;
/** On a route that may be resumed. */
const tag = { ...ask, path: "/tag/2f" } as const;

const allIds = [1, 2, 3, 4, 5];

const crLfBytes = createRawStream({ stop: "insideData", lineEnd: "\r\n", writing: "bytes" });
const broken: readonly (readonly [string, RawStream])[] = [
  ...Object.entries(brokenStreams),
  ["in single bytes with CR LF", crLfBytes],
];

const idsOf = (body: string): number[] => [...body.matchAll(/^id: ?(\d+)\r?$/gm)].map(([, id]) => Number(id));

const behaveAll = (system: PlatformSystem, behaviour: Behaviour): void => {
  for (const engine of system.engines) engine.setBehaviours(behaviour, behaviour, behaviour);
};

const runCount = (system: PlatformSystem, id: string): number =>
  system.engines.flatMap(({ runs }) => runs).filter((run) => run.id === id).length;

/** Sends a request of which the engine that gets it first answers with the given stream. */
const sendToBroken = async (
  system: PlatformSystem,
  stream: RawStream,
  request: Parameters<typeof sendRequest>[1],
) => {
  await sendRequest(system.router, tag);
  // The next request with the same prompt parts goes to the same engine.
  const home = system.engines.find(({ runs }) => runs.length > 0);
  home?.setBehaviours(stream);
  const answer = await sendRequest(system.router, request);
  home?.setBehaviours();
  return answer;
};

/** Sends a request as raw text. @returns What the caller read, and whether its connection was reset. */
const sendRaw = async (router: ForwardingRouter, version: string, extra: readonly string[]) => {
  const socket = connect(router.port, "127.0.0.1");
  const headers = Object.entries({ ...callHeaders("raw", keys.known, 3_000), ...ask.headers });
  const lines = [`POST ${ask.path} HTTP/${version}`, `host: ${ask.host}`, "content-length: 0", ...extra];
  socket.write([...lines, ...headers.map(([name, value]) => `${name}: ${value}`), "", ""].join("\r\n"));
  let text = "";
  let isReset = false;
  socket.setEncoding("latin1");
  socket.on("data", (chunk: string) => (text += chunk));
  socket.on("error", () => (isReset = true));
  await new Promise((resolve) => socket.once("close", resolve));
  return { text, isReset };
};

// Its end was taken for the end of the stream, although it came inside an event.
describe("a stream that breaks off without a length or chunks", () => {
  it("goes on at another replica where it broke off", async () => {
    for (const [name, stream] of broken) {
      await using system = await startPlatformSystem();
      const answer = await sendToBroken(system, stream, { ...tag, id: "resumed" });
      expect([name, answer.status, answer.isCut]).toEqual([name, 200, false]);
      const event = (id: number): string => `id: ${id}\ndata: resumed ${id}\n\n`;
      expect([name, answer.body.replaceAll("\r\n", "\n")]).toEqual([name, allIds.map(event).join("")]);
      expect([name, runCount(system, "resumed")]).toEqual([name, 2]);
    }
  });

  it("is not framed as complete if it can't be resumed", async () => {
    for (const [name, stream] of broken) {
      for (const request of [ask, tag]) {
        await using system = await startPlatformSystem();
        behaveAll(system, stream);
        const answer = await sendRequest(system.router, { ...request, id: "broken" });
        expect([name, request.path, answer.status !== 200 || answer.isCut]).toEqual([
          name,
          request.path,
          true,
        ]);
        expect(runCount(system, "broken")).toEqual(request === ask ? 1 : 2);
      }
    }
  });

  it("can't be taken for complete by callers without chunks, or whose connection closes", async () => {
    for (const [version, extra] of [
      ["1.0", []],
      ["1.0", ["connection: keep-alive"]],
      ["1.1", ["connection: close"]],
    ] as const) {
      await using system = await startPlatformSystem();
      behaveAll(system, brokenStreams.unframedInsideData);
      const { text, isReset } = await sendRaw(system.router, version, extra);
      const isChunked = /^transfer-encoding: chunked\r$/im.test(text);
      expect([version, extra, isReset || (isChunked && !text.endsWith("0\r\n\r\n"))]).toEqual([
        version,
        extra,
        true,
      ]);
    }
  });
});

describe("a resumed stream", () => {
  const events = (ids: readonly string[]): Partial<RawStream> => ({
    formatEvent: ({ id, data }) => `${ids[id - 1] ?? ""}data: ${data}\n\n`,
  });

  for (const [name, ids] of [
    ["no id", ["id: 1\n", ""]],
    ["an empty id", ["id: 1\n", "id\n"]],
    ["the id of the event before", ["id: 1\n", "id: 1\n"]],
    ["a lower id", ["id: 2\n", "id: 1\n"]],
  ] as const) {
    it(`is broken off if its last event had ${name}, since no replica knows where to go on`, async () => {
      await using system = await startPlatformSystem();
      const stream = createRawStream({ stop: "insideData", ...events(ids) });
      const answer = await sendToBroken(system, stream, { ...tag, id: "unknown" });
      expect([answer.status, answer.isCut, runCount(system, "unknown")]).toEqual([200, true, 1]);
    });
  }

  it("is broken off if the other replica repeats an event", async () => {
    await using system = await startPlatformSystem();
    for (const engine of system.engines) {
      const restarts = createRawStream({ formatEvent: ({ data }) => `id: 1\ndata: ${data}\n\n` });
      engine.setBehaviours(restarts);
    }
    const stream = createRawStream({ stop: "insideData" });
    await sendRequest(system.router, tag);
    const home = system.engines.find(({ runs }) => runs.length > 0);
    home?.setBehaviours(stream);
    const answer = await sendRequest(system.router, { ...tag, id: "repeats" });
    expect([answer.isCut, idsOf(answer.body)]).toEqual([true, [1, 2]]);
  });

  it("may end with an event without an empty line if its end is marked", async () => {
    await using system = await startPlatformSystem({ engine: { events: { count: 3, pause: 5 } } });
    const last = createRawStream({
      framing: "chunks",
      formatEvent: ({ id, data }) => `id: ${id}\ndata: ${data}\n`,
    });
    const begun = createRawStream({
      stop: "insideData",
      formatEvent: ({ id, data }) => `id: ${id}\ndata: ${data}\n\n`,
    });
    await sendRequest(system.router, tag);
    const home = system.engines.find(({ runs }) => runs.length > 0);
    for (const engine of system.engines) engine.setBehaviours(engine === home ? begun : last);
    const answer = await sendRequest(system.router, { ...tag, id: "marked" });
    expect([answer.isCut, answer.body.startsWith("id: 1\n"), runCount(system, "marked")]).toEqual([
      false,
      true,
      2,
    ]);
  });

  it("is broken off if the other replica has nothing left of an event that was begun", async () => {
    await using system = await startPlatformSystem();
    const answer = await sendToBroken(system, createRawStream({ stop: "insideData" }), {
      ...tag,
      id: "first",
    });
    expect(answer.isCut).toEqual(false);
    behaveAll(system, createRawStream({ stop: "afterHead" }));
    const home = system.engines.find(({ runs }) => runs.length > 0);
    home?.setBehaviours(createRawStream({ stop: "insideData" }));
    const second = await sendRequest(system.router, { ...tag, id: "second" });
    expect([second.isCut, idsOf(second.body)]).toEqual([true, [1, 2]]);
  });
});

describe("a whole stream", () => {
  const wholeStreams: readonly (readonly [string, Partial<RawStream>])[] = [
    ["LF", {}],
    ["CR LF", { lineEnd: "\r\n" }],
    ["CR", { lineEnd: "\r" }],
    ["single bytes", { lineEnd: "\r\n", writing: "bytes" }],
    ["one write with its head", { writing: "once" }],
    ["a byte order mark", { prefix: "\uFEFF" }],
    ["a comment at its end", { suffix: ": done\n" }],
    [
      "comments without an empty line",
      { formatEvent: ({ id, data }) => `: ping\nid:${id}\ndata:${data}\n\n` },
    ],
    ["a last event without an empty line, in chunks", { framing: "chunks", suffix: "data: end\n" }],
    ["a last line without its end, in chunks", { framing: "chunks", suffix: "data: [DONE]" }],
    ["a last event without an empty line, with its length", { framing: "length", suffix: "data: end\n" }],
    ["nothing but its head, in chunks", { framing: "chunks", stop: "afterHead" }],
  ];

  it("reaches its caller unchanged, whatever its line ends and however its end is marked", async () => {
    await using system = await startPlatformSystem();
    for (const [name, fields] of wholeStreams) {
      for (const request of [ask, tag]) {
        const stream = createRawStream({ ...fields });
        behaveAll(system, stream);
        const answer = await sendRequest(system.router, { ...request, id: "whole" });
        const event = (id: number): string => stream.formatEvent({ id, data: `whole ${id}` });
        const sent =
          stream.stop === "afterHead" ? "" : stream.prefix + allIds.map(event).join("") + stream.suffix;
        expect([name, answer.status, answer.isCut, answer.body]).toEqual([
          name,
          200,
          false,
          sent.replaceAll("\n", stream.lineEnd),
        ]);
      }
    }
  });

  it("may be a body of another type, or none", async () => {
    await using system = await startPlatformSystem();
    const json = createRawStream({ contentType: "application/json", formatEvent: () => "", suffix: "{}" });
    for (const request of [ask, tag]) {
      behaveAll(system, json);
      const answer = await sendRequest(system.router, request);
      expect([answer.status, answer.isCut, answer.body]).toEqual([200, false, "{}"]);
      behaveAll(system, createRawStream({ status: 204, stop: "afterHead" }));
      const empty = await sendRequest(system.router, request);
      expect([empty.status, empty.isCut, empty.body]).toEqual([204, false, ""]);
    }
  });

  it("is passed on although it may have stopped between two events, which looks the same", async () => {
    await using system = await startPlatformSystem();
    for (const request of [ask, tag]) {
      behaveAll(system, createRawStream({ stop: "betweenEvents" }));
      const answer = await sendRequest(system.router, request);
      expect([answer.status, answer.isCut, idsOf(answer.body)]).toEqual([200, false, [1, 2]]);
    }
  });

  it("may have no events left for a caller that resumes it after the last one", async () => {
    await using system = await startPlatformSystem();
    behaveAll(system, "unframed");
    const headers = { ...tag.headers, "last-event-id": "5" };
    const answer = await sendRequest(system.router, { ...tag, headers });
    expect([answer.status, answer.isCut, answer.body]).toEqual([200, false, ""]);
  });
});
