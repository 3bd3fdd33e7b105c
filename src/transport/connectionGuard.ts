/**
 * Guards the connections of undici's clients where undici would take a truncated answer for complete, or fail with an
 * error that ends the process.
 *
 * - An answer without a length ends with its connection, and undici takes a reset for that end as well. In addition, an
 *   operating system may report a reset that follows data as an ordinary end; the socket then has no remote address any
 *   more.
 * - A head, informational answers, chunk extensions and trailers may go on for ever without a byte of the body; undici
 *   bounds the size of one head only.
 * - If a connection ends while the parser of its answer is paused, undici throws an assertion error from the socket's
 *   event. A guarded answer is paused in front of the parser instead, by leaving its bytes in the socket.
 */
import type { Socket } from "node:net";
import type { Dispatcher } from "undici";
import { Agent, buildConnector, Client, Pool } from "undici";
import { endlessAnswerCode } from "./httpFailures.ts";

/** The part of a socket that the guard uses. */
export type GuardedSocket = Pick<
  Socket,
  "destroy" | "emit" | "on" | "prependListener" | "read" | "remoteAddress"
>;

/** Guards the connections of one client, which sends one request at a time over one connection at a time. */
export interface ConnectionGuard {
  /** @returns A connector that guards the sockets that `open` connects. */
  readonly connector: (open: buildConnector.connector) => buildConnector.connector;
  readonly watch: (socket: GuardedSocket) => void;
  /** @returns A handler that pauses answers in front of the parser, and gets an error where an answer was reset. */
  readonly guard: (handler: Dispatcher.DispatchHandler) => Dispatcher.DispatchHandler;
}

/** A handler as undici's own methods pass it: it pauses by the results of its functions. */
type LegacyHandler = Required<Dispatcher.DispatchHandler>;

/** Undici's own handlers return nothing where they don't pause, for example for an informational head. */
const isPause = (result: unknown): boolean => result === false;

const resetError = (): Error =>
  Object.assign(new Error("The connection was reset before the end of the answer."), { code: "ECONNRESET" });

/** Bytes of an answer that may precede its body or surround it, and as many times the bytes of its body. */
const overheadLimits = { bytes: 131_072, perBodyByte: 16 } as const;

const endlessError = (): Error =>
  Object.assign(new Error("The answer has too many bytes beside its body."), { code: endlessAnswerCode });

/** Counts the bytes of an answer beside its body: heads, chunk extensions and trailers. */
const createOverheadCounter = () => {
  let received = 0;
  let body = 0;
  return {
    reset: (): void => {
      received = 0;
      body = 0;
    },
    noteReceived: (bytes: number): void => {
      received += bytes;
    },
    noteBody: (bytes: number): void => {
      body += bytes;
    },
    isTooMuch: (): boolean => received - body > overheadLimits.bytes + body * overheadLimits.perBodyByte,
  };
};

/** Creates a guard without sockets. */
export const createConnectionGuard = (): ConnectionGuard => {
  let isResetting = false;
  let isPaused = false;
  const overhead = createOverheadCounter();
  let current: GuardedSocket | undefined;

  const noteReset = (): void => {
    isResetting = true;
    queueMicrotask(() => {
      isResetting = false;
    });
  };

  const watch = (socket: GuardedSocket): void => {
    current = socket;
    const read = socket.read.bind(socket);
    // A read of no bytes only fills the socket's own buffer.
    socket.read = (size) => {
      if (isPaused && size !== 0 && socket === current) return null;
      const bytes = read(size) as Buffer | null;
      overhead.noteReceived(bytes?.length ?? 0);
      return bytes;
    };
    // Appended to undici's listener, which parses all that has arrived.
    socket.on("readable", () => {
      if (socket === current && overhead.isTooMuch()) socket.destroy(endlessError());
    });
    // Prepended listeners run in the same event as undici's, before them.
    socket.prependListener("error", noteReset);
    socket.prependListener("end", () => {
      if (socket.remoteAddress === undefined) noteReset();
    });
  };

  const pause = (): void => {
    isPaused = true;
  };

  const resume = (): void => {
    if (!isPaused) return;
    isPaused = false;
    // Deferred, since the parser may be running at the moment.
    process.nextTick(() => current?.emit("readable"));
  };

  const release = (): void => {
    isPaused = false;
  };

  const guardController = (controller: Dispatcher.DispatchController): Dispatcher.DispatchController => ({
    get aborted() {
      return controller.aborted;
    },
    get paused() {
      return isPaused;
    },
    get reason() {
      return controller.reason;
    },
    abort: (reason) => controller.abort(reason),
    pause,
    resume,
  });

  const guardHandler = (handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler => {
    let guarded: Dispatcher.DispatchController | undefined;
    const guardOnce = (controller: Dispatcher.DispatchController): Dispatcher.DispatchController =>
      (guarded ??= guardController(controller));
    return {
      onRequestStart: (controller, context) => {
        release();
        overhead.reset();
        handler.onRequestStart?.(guardOnce(controller), context);
      },
      onRequestUpgrade: (controller, ...upgrade) =>
        handler.onRequestUpgrade?.(guardOnce(controller), ...upgrade),
      onResponseStart: (controller, ...head) => handler.onResponseStart?.(guardOnce(controller), ...head),
      onResponseData: (controller, chunk) => {
        overhead.noteBody(chunk.length);
        handler.onResponseData?.(guardOnce(controller), chunk);
      },
      onResponseEnd: (controller, trailers) => {
        release();
        if (isResetting) handler.onResponseError?.(guardOnce(controller), resetError());
        else handler.onResponseEnd?.(guardOnce(controller), trailers);
      },
      onResponseError: (controller, error) => {
        release();
        handler.onResponseError?.(guardOnce(controller), error);
      },
    };
  };

  /* eslint-disable @typescript-eslint/no-deprecated -- undici's own methods still pass such handlers. */
  const guardLegacyHandler = (handler: LegacyHandler): Dispatcher.DispatchHandler => ({
    onConnect: (abort) => {
      release();
      overhead.reset();
      handler.onConnect(abort);
    },
    onUpgrade: (...upgrade) => handler.onUpgrade(...upgrade),
    onHeaders: (status, headers, _resume, text) => {
      if (isPause(handler.onHeaders(status, headers, resume, text))) pause();
      return true;
    },
    onData: (chunk) => {
      overhead.noteBody(chunk.length);
      if (isPause(handler.onData(chunk))) pause();
      return true;
    },
    onComplete: (trailers) => {
      release();
      if (isResetting) handler.onError(resetError());
      else handler.onComplete(trailers);
    },
    onError: (error) => {
      release();
      handler.onError(error);
    },
  });
  /* eslint-enable @typescript-eslint/no-deprecated */

  return {
    watch,
    connector: (open) => (options, done) => {
      open(options, (...result) => {
        // If the connection failed, there is no socket to watch.
        if (result[0] === null) watch(result[1]);
        done(...result);
      });
    },
    guard: (handler) =>
      handler.onRequestStart === undefined
        ? guardLegacyHandler(handler as LegacyHandler)
        : guardHandler(handler),
  };
};

/** A client whose connections are guarded. */
class GuardedClient extends Client {
  private readonly connection: ConnectionGuard;

  constructor(origin: URL, options: Client.Options, open: buildConnector.connector) {
    const connection = createConnectionGuard();
    super(origin, { ...options, connect: connection.connector(open) });
    this.connection = connection;
  }

  override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    return super.dispatch(options, this.connection.guard(handler));
  }
}

/** Settings of a pool; `connectTimeout` in milliseconds. */
export interface GuardedPoolOptions extends Omit<Pool.Options, "connect" | "connectTimeout" | "factory"> {
  readonly connectTimeout: number;
}

/** Creates a pool of guarded connections to one origin. */
export const createGuardedPool = (
  origin: string | URL,
  { connectTimeout, ...options }: GuardedPoolOptions,
): Pool => {
  const open = buildConnector({ timeout: connectTimeout });
  return new Pool(origin, {
    ...options,
    factory: (url, clientOptions) => new GuardedClient(url, clientOptions, open),
  });
};

/** Creates an agent: a pool of guarded connections for each origin. */
export const createGuardedAgent = (options: GuardedPoolOptions): Agent =>
  new Agent({ factory: (origin) => createGuardedPool(origin, options) });
