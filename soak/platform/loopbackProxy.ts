/** A TCP proxy on a loopback address that harms what passes through it, from outside the processes at either end. */
import { once } from "node:events";
import type { AddressInfo, Socket } from "node:net";
import { connect, createServer } from "node:net";

/**
 * What happens to connections.
 *
 * - `pass`: nothing.
 * - `delay`: every piece waits, in both directions.
 * - `reset`: open ones are reset, new ones too.
 * - `silent`: new ones are accepted, and nothing passes on any until it ends.
 * - `oneWay`: what the far end answers doesn't arrive until it ends.
 * - `mute`: those that are open fall silent for good, new ones work.
 */
export type ProxyMode = "pass" | "delay" | "reset" | "silent" | "oneWay" | "mute";

/** See {@link startLoopbackProxy}. */
export interface LoopbackProxy extends AsyncDisposable {
  /** `IP:PORT`. */
  readonly address: string;
  readonly setMode: (mode: ProxyMode) => void;
}

/** How long a piece waits in mode `delay`, milliseconds: more than a usual answer, less than any time limit. */
const delayTime = 150;

interface ConnectionPair {
  readonly near: Socket;
  readonly far: Socket;
  /** Nothing passes on it any more, whatever the mode. */
  isMuted: boolean;
}

/** Starts a proxy before an address. */
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
      // The system reports a reset that follows data as an end, and then there is no peer any more.
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
    if (mode === "reset") {
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

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setMode: (wanted) => {
      mode = wanted;
      for (const pair of pairs) {
        if (mode === "reset") pair.near.resetAndDestroy();
        if (mode === "reset") pair.far.resetAndDestroy();
        if (mode === "mute") pair.isMuted = true;
      }
    },
    [Symbol.asyncDispose]: () => {
      for (const { near, far } of pairs) {
        near.destroy();
        far.destroy();
      }
      server.close();
      return Promise.resolve();
    },
  };
};
