import { createServer } from "node:http";
import type { RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { expect } from "earl";
import { createVmListStandIn } from "../../standIns/vmList.ts";
import { PlatformError } from "../protocol/errors.ts";
import { createHttpLogService } from "./httpLogService.ts";
import { createHttpVmList } from "./httpVmList.ts";
import { defaultEpoch } from "../protocol/storeEpoch.ts";

const longTimeout = 30_000;

const serve = async (listener: RequestListener): Promise<{ url: string } & AsyncDisposable> => {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
};

/** Answers every request with one status and body. */
const answering = (status: number, body: unknown) =>
  serve((request, response) => {
    request.resume().on("end", () => response.writeHead(status).end(JSON.stringify(body)));
  });

const failureOf = async (work: Promise<unknown>) => {
  const error: unknown = await work.then(
    () => undefined,
    (failure: unknown) => failure,
  );
  if (!(error instanceof PlatformError)) throw error;
  return { fault: error.fault, mayHaveTakenEffect: error.mayHaveTakenEffect };
};

const appendTo = async (url: string, timeout = longTimeout) => {
  await using log = createHttpLogService({ url, timeout });
  return await log.append("configuration", ["a", "b"]);
};

const readFrom = async (url: string) => {
  await using log = createHttpLogService({ url, timeout: longTimeout });
  return await log.read("configuration", 4, 10, 250);
};

describe("createHttpLogService", () => {
  it("appends records in one POST and returns their offsets", async () => {
    const seen: string[] = [];
    await using server = await serve((request, response) => {
      const chunks: Buffer[] = [];
      request.on("data", (chunk: Buffer) => chunks.push(chunk));
      request.on("end", () => {
        seen.push(`${request.method ?? ""} ${request.url ?? ""} ${Buffer.concat(chunks).toString()}`);
        response.end(JSON.stringify({ offsets: [7, 8] }));
      });
    });
    expect(await appendTo(server.url)).toEqual({ offsets: [7, 8], epoch: defaultEpoch });
    expect(seen).toEqual(['POST /streams/configuration/records {"records":["a","b"]}']);
  });

  it("reads a page and passes the wait on", async () => {
    const page = {
      records: [{ offset: 5, appendedAt: 1, data: "x" }],
      earliestOffset: 2,
      nextOffset: 6,
    };
    const seen: (string | undefined)[] = [];
    await using server = await serve((request, response) => {
      seen.push(request.url);
      response.end(JSON.stringify(page));
    });
    expect(await readFrom(server.url)).toEqual({ ...page, epoch: defaultEpoch });
    expect(seen).toEqual(["/streams/configuration/records?from=4&limit=10&waitMilliseconds=250"]);
  });

  it("knows that nothing was appended where no connection came about", async () => {
    const server = await answering(200, {});
    await server[Symbol.asyncDispose]();
    expect(await failureOf(appendTo(server.url))).toEqual({
      fault: "unreachable",
      mayHaveTakenEffect: false,
    });
  });

  it("admits that an append may have been taken where the connection broke", async () => {
    await using server = await serve((request) => {
      request.resume().on("end", () => request.socket.destroy());
    });
    const expected = { fault: "unreachable", mayHaveTakenEffect: true } as const;
    expect(await failureOf(appendTo(server.url))).toEqual(expected);
  });

  it("admits that an append may have been taken where no answer came in time", async () => {
    await using server = await serve(() => undefined);
    const expected = { fault: "unreachable", mayHaveTakenEffect: true } as const;
    expect(await failureOf(appendTo(server.url, 50))).toEqual(expected);
  });

  const statuses = [
    [429, "overloaded", false],
    [400, "malformed", false],
    [408, "unreachable", true],
    [503, "unreachable", true],
  ] as const;
  for (const [status, fault, mayHaveTakenEffect] of statuses) {
    it(`takes status ${status} of an append as ${fault}`, async () => {
      await using server = await answering(status, {});
      expect(await failureOf(appendTo(server.url))).toEqual({ fault, mayHaveTakenEffect });
    });
  }

  it("refuses an append's answer with too few offsets", async () => {
    await using server = await answering(200, { offsets: [1] });
    expect(await failureOf(appendTo(server.url))).toEqual({
      fault: "malformed",
      mayHaveTakenEffect: true,
    });
  });

  it("takes status 410 of a read as expired", async () => {
    await using server = await answering(410, {});
    expect(await failureOf(readFrom(server.url))).toEqual({ fault: "expired", mayHaveTakenEffect: false });
  });

  it("refuses a page whose offsets do not rise", async () => {
    const record = { offset: 5, appendedAt: 1, data: "x" };
    await using server = await answering(200, {
      records: [record, record],
      earliestOffset: 0,
      nextOffset: 6,
    });
    expect(await failureOf(readFrom(server.url))).toEqual({
      fault: "malformed",
      mayHaveTakenEffect: false,
    });
  });
});

describe("createHttpVmList", () => {
  it("is not sent a list again that has not changed, and gives the same one", async () => {
    await using standIn = await createVmListStandIn();
    await using list = createHttpVmList({ url: standIn.url, timeout: longTimeout });
    const vm = { id: "a", dataCentre: "d", url: "http://127.0.0.1:1", pool: "p" };
    standIn.set([{ ...vm, role: "engine", state: "live" }]);
    const first = await list.read();
    expect((await list.read()) === first).toEqual(true);
    expect(standIn.state()).toLooseEqual({ reads: 2, sent: 1, vms: 1 });
    standIn.set([{ ...vm, role: "engine", state: "leaving" }]);
    expect((await list.read()).map((item) => item.state)).toEqual(["leaving"]);
  });

  const vm = {
    id: "router-1",
    dataCentre: "amman-north",
    url: "http://127.0.0.1:1",
    role: "router",
    pool: "",
    state: "live",
  };
  const readList = async (url: string) => {
    await using list = createHttpVmList({ url, timeout: longTimeout });
    return await list.read();
  };

  it("reads the list", async () => {
    await using server = await answering(200, { vms: [vm, { ...vm, peerUrl: "http://127.0.0.1:2" }] });
    expect(await readList(server.url)).toEqual([
      vm as never,
      { ...vm, peerUrl: "http://127.0.0.1:2" } as never,
    ]);
  });

  it("refuses a list with an unknown role", async () => {
    await using server = await answering(200, { vms: [{ ...vm, role: "painter" }] });
    expect(await failureOf(readList(server.url))).toEqual({
      fault: "malformed",
      mayHaveTakenEffect: false,
    });
  });
});
