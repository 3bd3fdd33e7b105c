/** A TCP proxy on a loopback address that injects network faults between two processes. */
import { once } from "node:events";
import type { AddressInfo, Socket } from "node:net";
import { connect, createServer } from "node:net";

/**
 * The fault that a proxy applies to its connections.
 *
 * - `pass`: none.
 * - `delay`: every chunk is delayed, in both directions.
 * - `reset`: open connections are reset, and so are new ones.
 * - `refuse`: open connections are reset, and the port is closed.
 * - `silent`: new connections are accepted, but no connection passes data until the mode changes.
 * - `oneWay`: data from the target is withheld until the mode changes.
 * - `mute`: open connections never pass data again, new ones work.
 */
export type ProxyMode = "pass" | "delay" | "reset" | "refuse" | "silent" | "oneWay" | "mute";

/** A running proxy. */
export interface LoopbackProxy extends AsyncDisposable {
  /** `IP:PORT`. */
  readonly address: string;
  readonly setMode: (mode: ProxyMode) => void;
}

/** Delay of a chunk in mode `delay`, milliseconds: longer than a typical answer, shorter than any timeout. */
const delayTime = 150;

interface ConnectionPair {
  readonly near: Socket;
  readonly far: Socket;
  /** True if the connection passes no more data, whatever the mode. */
  isMuted: boolean;
}

/** Starts a proxy in front of an address, `IP:PORT`. */
export const startLoopbackProxy = async (target: string): Promise<LoopbackProxy> => {
  const [host = "", port = ""] = target.split(":");
  const pairs = new Set<ConnectionPair>();
  let mode: ProxyMode = "pass";

  const isBlocked = (pair: ConnectionPair, isAnswer: boolean): boolean =>
    pair.isMuted || mode === "silent" || (mode === "oneWay" && isAnswer);

  const relay = (pair: ConnectionPair, from: Socket, to: Socket, isAnswer: boolean): void => {
    from.on("data", (chunk: Buffer) => {
      from.pause();
      const forward = (): void => {
        if (to.destroyed) return;
        if (isBlocked(pair, isAnswer)) {
          setTimeout(forward, delayTime);
          return;
        }
        to.write(chunk);
        from.resume();
      };
      if (mode === "delay") setTimeout(forward, delayTime);
      else forward();
    });
    from.on("end", () => {
      // The operating system reports a reset after data as an end; the socket then has no remote address any more.
      if (from.remoteAddress === undefined) to.resetAndDestroy();
      else to.end();
    });
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => {
      if (!isBlocked(pair, isAnswer)) to.destroySoon();
      pairs.delete(pair);
    });
  };

  const server = createServer({ allowHalfOpen: true }, (near) => {
    if (mode === "reset" || mode === "refuse") {
      near.resetAndDestroy();
      return;
    }
    const far = connect({ host, port: Number(port), allowHalfOpen: true });
    const pair: ConnectionPair = { near, far, isMuted: false };
    pairs.add(pair);
    relay(pair, near, far, false);
    relay(pair, far, near, true);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");

  const { port: ownPort } = server.address() as AddressInfo;
  let isDisposed = false;
  const setListening = (isListening: boolean): void => {
    if (isDisposed || isListening === server.listening) return;
    if (isListening) server.listen(ownPort, "127.0.0.1");
    else server.close();
  };

  return {
    address: `127.0.0.1:${ownPort}`,
    setMode: (wanted) => {
      mode = wanted;
      setListening(mode !== "refuse");
      const isReset = mode === "reset" || mode === "refuse";
      for (const pair of pairs) {
        if (isReset) pair.near.resetAndDestroy();
        if (isReset) pair.far.resetAndDestroy();
        if (mode === "mute") pair.isMuted = true;
      }
    },
    [Symbol.asyncDispose]: () => {
      isDisposed = true;
      for (const { near, far } of pairs) {
        near.destroy();
        far.destroy();
      }
      server.close();
      return Promise.resolve();
    },
  };
};
