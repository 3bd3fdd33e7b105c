/** HTTP servers for a router's readiness, which load balancers poll, and for its metrics. */
import { once } from "node:events";
import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { AddressInfo } from "node:net";
import { reportTaskFailure, runInBackground } from "../../state/backgroundTasks.ts";

export interface StatusServerDependencies {
  readonly readiness: { readonly address: string; readonly port: number };
  /** With port 0, metrics are not served. */
  readonly metrics: { readonly address: string; readonly port: number };
  readonly isReadyPath: (path: string) => boolean;
  readonly isReady: () => boolean;
  readonly metricsText: () => Promise<string>;
}

/** The listening servers. */
export interface StatusServer extends AsyncDisposable {
  /** The port of the readiness server. */
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

/** Starts the servers; resolves once they listen. */
export const startStatusServer = async (dependencies: StatusServerDependencies): Promise<StatusServer> => {
  const readiness = await listen(
    dependencies.readiness.port,
    dependencies.readiness.address,
    (request, response) => {
      const isKnown = dependencies.isReadyPath(request.url ?? "");
      response.writeHead(!isKnown ? 404 : dependencies.isReady() ? 200 : 503, { "content-length": 0 });
      response.end();
    },
  );
  const servers = [readiness];
  if (dependencies.metrics.port !== 0) {
    servers.push(
      await listen(dependencies.metrics.port, dependencies.metrics.address, (_request, response) => {
        const answer = async (): Promise<void> => {
          const text = await dependencies.metricsText().catch((error: unknown) => {
            reportTaskFailure("readMetrics", error);
            return undefined;
          });
          response.writeHead(text === undefined ? 500 : 200, { "content-type": "text/plain; version=0.0.4" });
          response.end(text);
        };
        runInBackground("serveMetrics", answer);
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
