/** HTTP servers for a router's readiness, which load balancers poll, and for its metrics. */
import { once } from "node:events";
import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { Metrics } from "../../state/Metrics.ts";
import { createConnectionTable } from "../connectionTable.ts";
import { reportTaskFailure, runInBackground } from "../../state/backgroundTasks.ts";

export interface StatusServerDependencies {
  readonly readiness: { readonly address: string; readonly port: number };
  /** With port 0, metrics are not served. */
  readonly metrics: { readonly address: string; readonly port: number };
  readonly isReadyPath: (path: string) => boolean;
  readonly isReady: () => boolean;
  readonly metricsText: () => Promise<string>;
  /** Counts connections that are closed. */
  readonly counters: Metrics;
}

/** The listening servers. */
export interface StatusServer extends AsyncDisposable {
  /** The port of the readiness server. */
  readonly port: number;
}

/** Connections of one of the servers; of more, the one that has been idle for longest is closed. */
const maxConnections = 32;

/** Milliseconds. */
const timeouts = { head: 3_000, idle: 15_000 } as const;

interface BoundedServer extends AsyncDisposable {
  readonly server: Server;
}

/** Starts a server whose connections are bounded; it reads no bodies. */
const listen = async (
  { address, port }: StatusServerDependencies["readiness"],
  name: string,
  metrics: Metrics,
  listener: RequestListener,
): Promise<BoundedServer> => {
  const connections = createConnectionTable({
    server: name,
    maximum: () => maxConnections,
    timeouts: () => timeouts,
    metrics,
  });
  // The connection table closes what is late.
  const server = createServer({ headersTimeout: 0, requestTimeout: 0 }, (request, response) => {
    connections.noteRequest(request, response);
    listener(request, response);
  });
  server.on("connection", (socket) => connections.add(socket));
  server.listen(port, address);
  await once(server, "listening");
  return {
    server,
    [Symbol.asyncDispose]: async () => {
      await connections[Symbol.asyncDispose]();
      server.close();
      server.closeAllConnections();
    },
  };
};

/** Starts the servers; resolves once they listen. */
export const startStatusServer = async (dependencies: StatusServerDependencies): Promise<StatusServer> => {
  const readiness = await listen(
    dependencies.readiness,
    "readiness",
    dependencies.counters,
    (request, response) => {
      const isKnown = dependencies.isReadyPath(request.url ?? "");
      response.writeHead(!isKnown ? 404 : dependencies.isReady() ? 200 : 503, { "content-length": 0 });
      response.end();
    },
  );
  const servers = [readiness];
  if (dependencies.metrics.port !== 0) {
    servers.push(
      await listen(dependencies.metrics, "metrics", dependencies.counters, (_request, response) => {
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
    port: (readiness.server.address() as AddressInfo).port,
    [Symbol.asyncDispose]: async () => {
      for (const each of servers) await each[Symbol.asyncDispose]();
    },
  };
};
