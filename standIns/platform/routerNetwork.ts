/**
 * The network between one router and the replicas, which can be partitioned while callers, the store and other routers
 * still reach the router. Connections to replicas pass a proxy inside this process, so that open ones can hang.
 */
import { AsyncLocalStorage } from "node:async_hooks";
import { once } from "node:events";
import type { AddressInfo, Server } from "node:net";
import { connect, createServer, Socket } from "node:net";

/**
 * How a partition affects connections to replicas.
 *
 * - `hang`: open ones pass no data, new ones are never established.
 * - `reset`: open ones are reset, new ones are refused.
 * - `refuse`: open ones live on, new ones are refused.
 * - `accept`: open ones pass no data, new ones are established and pass none either.
 */
export const partitionModes = ["hang", "reset", "refuse", "accept"] as const;
export type PartitionMode = (typeof partitionModes)[number];

/** The network of one router; disposing of it closes its proxies. */
export interface RouterNetwork extends AsyncDisposable {
  /** Runs a function whose connections, and those of everything that it starts, belong to this network. */
  readonly run: <T>(start: () => T) => T;
  /** Makes all connections of this process belong to this network. */
  readonly useForProcess: () => void;
  /** Partitions the router from the replicas until {@link RouterNetwork.heal}. */
  readonly partition: (mode: PartitionMode) => void;
  readonly heal: () => void;
}

interface Relayed {
  readonly near: Socket;
  readonly far: Socket;
}

/** Opens a connection of a network in place of the original `connect`. */
type Open = (socket: Socket, args: unknown[], port: number) => boolean;

/** `direct` for the connections of proxies themselves. */
const currentNetwork = new AsyncLocalStorage<Open | "direct">();
let processNetwork: Open | undefined;

// eslint-disable-next-line @typescript-eslint/unbound-method -- called with the socket as `this`.
const originalConnect = Socket.prototype.connect as (this: Socket, ...args: unknown[]) => Socket;

/** @returns The port that the arguments of `connect` name; they may have been normalized to an array by `net.connect`. */
const portOf = (args: readonly unknown[]): number | undefined => {
  const [first] = args;
  const options: unknown = Array.isArray(first) ? first[0] : first;
  if (typeof options !== "object" || options === null) return undefined;
  const { port } = options as { readonly port?: unknown };
  return port === undefined ? undefined : Number(port);
};

let isInstalled = false;

const install = (): void => {
  if (isInstalled) return;
  isInstalled = true;
  Socket.prototype.connect = function (this: Socket, ...args: unknown[]): Socket {
    const open = currentNetwork.getStore() ?? processNetwork;
    const port = portOf(args);
    if (open === undefined || open === "direct" || port === undefined || !open(this, args, port))
      return originalConnect.apply(this, args);
    return this;
  };
};

const refuse = (socket: Socket): void => {
  const error = Object.assign(new Error("connect ECONNREFUSED"), { code: "ECONNREFUSED" });
  process.nextTick(() => socket.destroy(error));
};

/**
 * Creates a network without a partition.
 *
 * @param isReplicaPort - Tells the ports of replicas from all others.
 */
export const createRouterNetwork = (isReplicaPort: (port: number) => boolean): RouterNetwork => {
  install();
  const connections = new Set<Relayed>();
  const proxies = new Map<number, Promise<Server>>();
  let partition: PartitionMode | undefined;
  let isDisposed = false;

  const isHanging = (): boolean => partition === "hang" || partition === "accept";

  const relay = ({ near, far }: Relayed): void => {
    for (const [from, to] of [
      [near, far],
      [far, near],
    ] as const) {
      from.on("data", (chunk: Buffer) => {
        if (!to.write(chunk)) from.pause();
      });
      to.on("drain", () => {
        if (!isHanging()) from.resume();
      });
      from.on("end", () => {
        // The operating system reports a reset after data as an end; the socket then has no remote address any more.
        if (from.remoteAddress === undefined) to.resetAndDestroy();
        else to.end();
      });
      from.on("error", () => to.resetAndDestroy());
      from.on("close", () => to.destroySoon());
    }
  };

  const startProxy = async (port: number): Promise<Server> => {
    const server = createServer({ allowHalfOpen: true }, (near) => {
      const far = connect({ host: "127.0.0.1", port, allowHalfOpen: true });
      const relayed = { near, far };
      connections.add(relayed);
      near.once("close", () => connections.delete(relayed));
      relay(relayed);
      if (isHanging()) for (const side of [near, far]) side.pause();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    // A router may open a connection while the network is disposed of.
    if (isDisposed) server.close();
    return server;
  };

  const proxyFor = (port: number): Promise<Server> => {
    const known = proxies.get(port) ?? currentNetwork.run("direct", () => startProxy(port));
    proxies.set(port, known);
    return known;
  };

  const openThroughProxy = async (socket: Socket, args: unknown[], port: number): Promise<void> => {
    const server = await proxyFor(port);
    if (socket.destroyed) return;
    if (!server.listening) {
      refuse(socket);
      return;
    }
    const [first, ...rest] = args;
    const options = (Array.isArray(first) ? first[0] : first) as object;
    const listener = Array.isArray(first) ? (first[1] as unknown) : rest[0];
    originalConnect.call(socket, { ...options, port: (server.address() as AddressInfo).port }, listener);
  };

  const open: Open = (socket, args, port) => {
    if (!isReplicaPort(port)) return false;
    if (partition === undefined || partition === "accept") void openThroughProxy(socket, args, port);
    // A socket that hangs stays unconnected until its user gives up.
    else if (partition !== "hang") refuse(socket);
    return true;
  };

  return {
    run: (start) => currentNetwork.run(open, start),
    useForProcess: () => {
      processNetwork = open;
    },
    partition: (mode) => {
      partition = mode;
      for (const { near, far } of connections) {
        if (isHanging()) for (const side of [near, far]) side.pause();
        if (mode === "reset") for (const side of [near, far]) side.resetAndDestroy();
      }
    },
    heal: () => {
      partition = undefined;
      for (const { near, far } of connections) for (const side of [near, far]) side.resume();
    },
    [Symbol.asyncDispose]: async () => {
      isDisposed = true;
      for (const { near, far } of connections) {
        near.destroy();
        far.destroy();
      }
      for (const server of proxies.values()) (await server).close();
    },
  };
};
