/** What a balancer and a collector of metrics ask a router. */
import { once } from "node:events";
import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { AddressInfo } from "node:net";

/** What the server works with. */
export interface StatusServerParts {
  readonly readiness: { readonly address: string; readonly port: number };
  /** Port 0: metrics are served nowhere. */
  readonly metrics: { readonly address: string; readonly port: number };
  readonly isReadyPath: (path: string) => boolean;
  readonly isReady: () => boolean;
  readonly metricsText: () => Promise<string>;
}

/** A listening server. */
export interface StatusServer extends AsyncDisposable {
  /** Of the readiness question. */
  readonly port: number;
}

const listen = async (port: number, address: string, listener: RequestListener): Promise<Server> => {
  const server = createServer(listener);
  server.listen(port, address);
  await once(server, "listening");
  return server;
};

const close = (server: Server): void => {
  server.close();
  server.closeAllConnections();
};

/** Starts to answer. */
export const startStatusServer = async (parts: StatusServerParts): Promise<StatusServer> => {
  const readiness = await listen(parts.readiness.port, parts.readiness.address, (request, response) => {
    const isKnown = parts.isReadyPath(request.url ?? "");
    response.writeHead(!isKnown ? 404 : parts.isReady() ? 200 : 503, { "content-length": 0 });
    response.end();
  });
  const servers = [readiness];
  if (parts.metrics.port !== 0) {
    servers.push(
      await listen(parts.metrics.port, parts.metrics.address, (_request, response) => {
        void parts.metricsText().then((text) => {
          response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
          response.end(text);
        });
      }),
    );
  }
  return {
    port: (readiness.address() as AddressInfo).port,
    [Symbol.asyncDispose]: () => {
      servers.forEach(close);
      return Promise.resolve();
    },
  };
};
