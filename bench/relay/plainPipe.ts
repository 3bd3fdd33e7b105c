/**
 * A minimal relay that passes undici's response body to h3 unparsed. It is the baseline for the router's
 * overhead.
 */
import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { Readable } from "node:stream";
import { H3, toNodeHandler } from "h3/node";
import { Agent } from "undici";

/** A listening pipe. */
export interface PlainPipe extends AsyncDisposable {
  readonly url: string;
}

const forwarded = (request: IncomingMessage): Record<string, string> => ({
  "content-type": "application/json",
  "x-attempt-id": String(request.headers["x-attempt-id"]),
  "x-organisation": String(request.headers["x-organisation"]),
});

/** Starts a pipe in front of one engine. */
export const startPlainPipe = async (engineUrl: string): Promise<PlainPipe> => {
  const pool = new Agent({ pipelining: 1 });
  const app = new H3();
  app.post("/v1/chat/completions", async (event) => {
    const request = event.runtime?.node?.req as IncomingMessage;
    const answer = await pool.request({
      origin: engineUrl,
      method: "POST",
      path: "/v1/chat/completions",
      headers: forwarded(request),
      body: await event.req.text(),
    });
    const body = Readable.toWeb(answer.body) as ReadableStream<Uint8Array>;
    return new Response(body, { headers: { "content-type": "text/event-stream" } });
  });
  const handler = toNodeHandler(app);
  const server = createServer((request, response) => void handler(request, response));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
      await pool.destroy();
    },
  };
};
