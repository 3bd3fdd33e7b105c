/**
 * Accepts connections, and refuses new ones while this process is overloaded. Where most new connections come here, they
 * wait in the operating system's queue until their callers have left, and work on them is lost, while other routers
 * idle. Node.js accepts one connection in each turn of its event loop: if consecutive turns had one each, the queue may
 * never have been empty, and a probe finds out how long a connection waits there. If that is too long, the listening
 * socket is closed, which resets the connections in the queue, unread, and refuses others; their callers try another
 * router at once. Readiness stays as it is: without it, the load balancer would send all of these connections to the
 * next router.
 */
import { once } from "node:events";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";
import { metricNames } from "../../state/constants.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import { steadyNow } from "../../state/steadyTime.ts";
import { createQueueProbe } from "./queueProbe.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

/** How long a connection may wait in the queue, milliseconds. */
const longestQueueTime = 150;

/** Time of turns with a connection in each from which on the queue is probed, and between two probes, milliseconds. */
const probeInterval = 50;

/** How long the listening socket is closed, milliseconds: the requests at work advance meanwhile. */
const closedTime = 50;

/** Time without such a closure after which the overload has ended, milliseconds. */
const calmTime = 1_000;

export interface SheddingListenerDependencies {
  readonly address: string;
  /** 0 for any. */
  readonly port: number;
  readonly onConnection: (socket: Socket) => void;
  readonly metrics: Metrics;
}

/** Disposal closes the listening socket; accepted connections stay open. */
export interface SheddingListener extends AsyncDisposable {
  readonly port: number;
}

const writeLog = createLogger("callers");

/** Logs the begin and the end of an overload. */
const createOverloadLog = () => {
  let overload: { readonly since: number; lastAt: number; closures: number } | undefined;

  const endAfterCalm = (): void => {
    if (overload === undefined) return;
    const quiet = steadyNow() - overload.lastAt;
    if (quiet < calmTime) {
      setTimeout(endAfterCalm, calmTime - quiet).unref();
      return;
    }
    const { since, lastAt, closures } = overload;
    writeLog("overload_ended", { milliseconds: Math.round(lastAt - since), closures });
    overload = undefined;
  };

  return {
    noteClosure: (queuedFor: number): void => {
      const now = steadyNow();
      if (overload === undefined) {
        writeLog("overloaded", { queuedFor: Math.round(queuedFor) });
        overload = { since: now, lastAt: now, closures: 0 };
        setTimeout(endAfterCalm, calmTime).unref();
      }
      overload.lastAt = now;
      overload.closures += 1;
    },
  };
};

/** Starts to listen; resolves once it does. */
export const startSheddingListener = async ({
  address,
  port,
  onConnection,
  metrics,
}: SheddingListenerDependencies): Promise<SheddingListener> => {
  const log = createOverloadLog();
  const listener = createServer();
  let isDisposed = false;
  /** Consecutive turns of the event loop with a connection in each; `undefined` if the last turn had none. */
  let streak: { readonly since: number; hadConnection: boolean } | undefined;

  const probe = createQueueProbe(() => {
    const { address: host, port: onPort } = listener.address() as AddressInfo;
    return { host, port: onPort };
  }, probeInterval);

  const listen = async (onPort: number): Promise<void> => {
    listener.listen(onPort, address);
    await once(listener, "listening");
  };

  const reopenLater = (onPort: number): void => {
    setTimeout(() => runInBackground("reopenListener", () => reopen(onPort)), closedTime).unref();
  };

  const reopen = async (onPort: number): Promise<void> => {
    if (isDisposed) return;
    try {
      await listen(onPort);
    } catch (error) {
      writeLog("listen_failed", { reason: String(error) });
      reopenLater(onPort);
    }
  };

  const refuseConnections = (): void => {
    log.noteClosure(probe.waited());
    metrics.count(metricNames.overloadClosures);
    const { port: onPort } = listener.address() as AddressInfo;
    listener.close();
    reopenLater(onPort);
  };

  const endStreak = (): void => {
    streak = undefined;
    probe.cancel();
  };

  /** Runs once after the input of each turn while a streak lasts. */
  const endTurn = (): void => {
    if (streak === undefined) return;
    if (!streak.hadConnection || !listener.listening) {
      endStreak();
      return;
    }
    if (probe.waited() >= longestQueueTime) {
      refuseConnections();
      endStreak();
      return;
    }
    if (steadyNow() - streak.since >= probeInterval) probe.start();
    streak.hadConnection = false;
    setImmediate(endTurn);
  };

  listener.on("connection", (socket) => {
    if (streak === undefined) {
      streak = { since: steadyNow(), hadConnection: true };
      setImmediate(endTurn);
    }
    streak.hadConnection = true;
    if (!probe.endIfOwn(socket)) onConnection(socket);
  });
  await listen(port);

  return {
    port: (listener.address() as AddressInfo).port,
    [Symbol.asyncDispose]: () => {
      isDisposed = true;
      endStreak();
      if (listener.listening) listener.close();
      return Promise.resolve();
    },
  };
};
