/** A body that is refused leaves its caller able to read why, and a body that is kept counts until it is released. */
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { expect } from "earl";
import type { RequestError } from "../protocol/errors.ts";
import { createTestIntake } from "../../tests/support/callerIntake.ts";

const limit = 65_536;

/** Starts a server that answers with the length of the body, or refuses it. */
const startServer = async () => {
  const intake = createTestIntake();
  const server = createServer((message, response) => {
    const serve = async (): Promise<void> => {
      try {
        const body = await intake.receive(message, response, { owner: "", limit });
        response.end(String(body.bytes.length));
        body.release();
      } catch (error) {
        const { status, code } = (error as RequestError).failure;
        response.writeHead(status, { connection: "close", "content-length": code.length });
        intake.endRefusal(response, Buffer.from(code));
      }
    };
    void serve();
  });
  server.on("checkContinue", (...exchange) => server.emit("request", ...exchange));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    port: (server.address() as AddressInfo).port,
    [Symbol.asyncDispose]: async () => {
      await intake[Symbol.asyncDispose]();
      server.close();
      server.closeAllConnections();
    },
  };
};

/** @returns All that the server sends until the connection ends, and the error by which it ended. */
const readToEnd = (socket: Socket): Promise<{ readonly text: string; readonly error: string | undefined }> =>
  new Promise((resolve) => {
    let text = "";
    let error: string | undefined;
    socket.on("data", (chunk: Buffer) => (text += chunk.toString()));
    socket.on("error", ({ code }: NodeJS.ErrnoException) => (error = code));
    socket.on("close", () => resolve({ text, error }));
  });

const exchange = async (port: number, head: string, body: Buffer | string) => {
  const socket = connect(port, "127.0.0.1");
  const ended = readToEnd(socket);
  socket.write(`POST / HTTP/1.1\r\nhost: x\r\n${head}\r\n\r\n`);
  socket.write(body);
  const { text, error } = await ended;
  return { status: /^HTTP\/1\.1 (\d+)/.exec(text)?.[1], end: text.split("\r\n\r\n").at(-1), error };
};

describe("a body that is refused", () => {
  it("lets a caller read the refusal that sends all of it first: a reset lost it", async () => {
    await using server = await startServer();
    expect(await exchange(server.port, "content-length: 4194304", Buffer.alloc(4_194_304, "x"))).toEqual({
      status: "413",
      end: "body_too_large",
      error: undefined,
    });
  });

  it("is refused as soon as its chunks exceed the limit", async () => {
    await using server = await startServer();
    const chunk = `8000\r\n${"x".repeat(32_768)}\r\n`;
    expect(await exchange(server.port, "transfer-encoding: chunked", `${chunk.repeat(8)}0\r\n\r\n`)).toEqual({
      status: "413",
      end: "body_too_large",
      error: undefined,
    });
  });

  it("isn't asked for if its announced length is too large", async () => {
    await using server = await startServer();
    const head = "expect: 100-continue\r\ncontent-length: 4194304";
    expect((await exchange(server.port, head, "")).status).toEqual("413");
  });
});

describe("a body within the limit", () => {
  it("is asked for where its caller expects that, and received", async () => {
    await using server = await startServer();
    const head = "expect: 100-continue\r\nconnection: close\r\ncontent-length: 65536";
    const answer = await exchange(server.port, head, Buffer.alloc(limit, "x"));
    expect(answer.status).toEqual("100");
    expect(answer.end?.includes("65536")).toEqual(true);
  });
});
