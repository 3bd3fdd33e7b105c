/** Callers that hold connections of a router process open: bodies that stop short, parts of heads, and nothing at all. */
import { readdirSync, readFileSync } from "node:fs";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { HostAndPort } from "../../src/protocol/networkAddress.ts";

/** How a body is sent. Sizes are bytes of the body, without its framing. */
export interface BodyForm {
  /** The announced length; without it, the body is chunked. */
  readonly announced?: number;
  /** Bytes of each chunk, or of each write where a length is announced. */
  readonly pieceBytes: number;
  /** Bytes after which nothing more is sent. */
  readonly sentBytes: number;
  /** Whether the end of a chunked body is sent. */
  readonly isEnded?: boolean;
}

/** A caller whose connection stays open until it is disposed of, unless the router closes it. */
export interface CrowdCaller extends AsyncDisposable {
  /** What the router has sent. */
  readonly received: () => string;
  /** Resolves with the whole answer, or with what came before the connection closed. */
  readonly answered: Promise<string>;
}

/** Bytes of small chunks that are written at once. */
const writeBytes = 65_536;

/** A connection that takes nothing for this long is taken for stopped by the router, milliseconds. */
const stuckTime = 3_000;

const createPiece = ({ announced, pieceBytes }: BodyForm): Buffer => {
  const data = "x".repeat(pieceBytes);
  return Buffer.from(announced === undefined ? `${pieceBytes.toString(16)}\r\n${data}\r\n` : data);
};

const createWrites = function* (form: BodyForm): Generator<Buffer, void> {
  const piece = createPiece(form);
  const together = form.announced === undefined ? Math.max(1, Math.floor(writeBytes / piece.length)) : 1;
  const many = Buffer.concat(Array.from({ length: together }, () => piece));
  let remaining = Math.floor(form.sentBytes / form.pieceBytes);
  for (; remaining >= together; remaining -= together) yield many;
  for (; remaining > 0; remaining -= 1) yield piece;
  if (form.announced !== undefined) yield piece.subarray(0, form.sentBytes % form.pieceBytes);
  else if (form.isEnded === true) yield Buffer.from("0\r\n\r\n");
};

/** Resolves when the connection can take more, has closed, or has taken nothing for a while. */
const whenWritable = (socket: Socket): Promise<void> =>
  new Promise((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      socket.off("drain", finish).off("close", finish);
      resolve();
    };
    const timer = setTimeout(finish, stuckTime);
    socket.once("drain", finish).once("close", finish);
  });

const whenOpen = (socket: Socket): Promise<void> =>
  new Promise((resolve) => {
    socket.once("connect", () => resolve());
    socket.once("close", () => resolve());
  });

const isWholeAnswer = (text: string): boolean => {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return false;
  const length = /\r\ncontent-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1];
  return length === undefined ? text.endsWith("0\r\n\r\n") : text.length >= headEnd + 4 + Number(length);
};

/**
 * Opens a connection and sends a head, and a body until it has been sent as described, an answer comes, or the
 * connection is closed or stopped.
 */
export const openCaller = async (
  { host, port }: HostAndPort,
  head: string,
  form?: BodyForm,
): Promise<CrowdCaller> => {
  const socket = connect({ host, port, noDelay: true });
  let received = "";
  let hasAnswer = false;
  const answered = new Promise<string>((resolve) => {
    socket.on("data", (chunk: Buffer) => {
      received += chunk.toString("latin1");
      hasAnswer = true;
      if (isWholeAnswer(received)) resolve(received);
    });
    socket.on("close", () => resolve(received));
  });
  socket.on("error", () => undefined);
  const caller: CrowdCaller = {
    received: () => received,
    answered,
    [Symbol.asyncDispose]: () => {
      socket.destroy();
      return Promise.resolve();
    },
  };
  const send = async (bytes: Buffer | string): Promise<boolean> => {
    if (bytes.length > 0 && !socket.write(bytes)) await whenWritable(socket);
    return !socket.writableNeedDrain && !socket.destroyed && !hasAnswer;
  };
  await whenOpen(socket);
  if (!(await send(head)) || form === undefined) return caller;
  for (const bytes of createWrites(form)) {
    if (!(await send(bytes))) break;
    if (form.announced !== undefined) await sleep(0);
  }
  return caller;
};

/** What a process uses. */
export interface ProcessUse {
  /** The most memory that was resident at once so far, bytes. */
  readonly peakMemory: number;
  readonly descriptors: number;
}

/** @returns What a process uses; `undefined` if it has ended. */
export const readProcessUse = (processId: number): ProcessUse | undefined => {
  try {
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    const peakKilobytes = Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? Number.NaN);
    if (Number.isNaN(peakKilobytes)) return undefined;
    return { peakMemory: peakKilobytes * 1_024, descriptors: readdirSync(`/proc/${processId}/fd`).length };
  } catch {
    return undefined;
  }
};
