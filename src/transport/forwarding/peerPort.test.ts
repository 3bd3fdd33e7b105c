import { once } from "node:events";
import { createServer as createHttpServer, request } from "node:http";
import { createServer } from "node:net";
import { describe, it } from "node:test";
import { expect } from "earl";
import { openPeerPort } from "./peerPort.ts";

const address = "127.0.0.1";

/** @returns The error code of a server that tries to listen at a TCP port; `undefined` if it can. */
const tryListen = async (port: number): Promise<string | undefined> => {
  const server = createServer().listen(port, address);
  try {
    await once(server, "listening");
    return undefined;
  } catch (error) {
    return (error as NodeJS.ErrnoException).code;
  } finally {
    server.close();
  }
};

const statusOf = async (port: number): Promise<number | undefined> => {
  const call = request({ host: address, port, agent: false }).end();
  const [response] = (await once(call, "response")) as [{ readonly statusCode?: number; resume: () => void }];
  response.resume();
  return response.statusCode;
};

describe("the port for other routers", () => {
  // Another process took the port before the server for passed-on requests listened, and the router did not start.
  it("is kept from other processes until an HTTP server takes it over", async () => {
    await using port = await openPeerPort({ address, port: 0 });
    expect(await tryListen(port.link.port)).toEqual("EADDRINUSE");
    const server = createHttpServer((_request, response) => response.writeHead(204).end());
    server.listen(port.listener);
    await once(server, "listening");
    expect(await statusOf(port.link.port)).toEqual(204);
    server.close();
    server.closeAllConnections();
  });

  it("can be taken by others after it was disposed of", async () => {
    const port = await openPeerPort({ address, port: 0 });
    const { link } = port;
    const number = link.port;
    await port[Symbol.asyncDispose]();
    expect(await tryListen(number)).toEqual(undefined);
  });

  it("is refused where another server listens", async () => {
    const server = createServer().listen(0, address);
    await once(server, "listening");
    const { port } = server.address() as { readonly port: number };
    await expect(openPeerPort({ address, port })).toBeRejectedWith("EADDRINUSE");
    server.close();
  });
});
