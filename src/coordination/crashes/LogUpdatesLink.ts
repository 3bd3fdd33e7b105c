/**
 * What routers of the product's own interface tell one another of crashes, by a stream of the log service: they have no
 * datagrams, crashes are few, and the order of the log outlasts a restart of all routers.
 */
import { randomBytes } from "node:crypto";
import { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { DatagramAddress } from "../../protocol/forwarding/DatagramLink.ts";
import type { LogService } from "../../protocol/LogService.ts";
import type { LogRecord } from "../../protocol/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";

/** What it works with. Times are milliseconds. */
export interface LogUpdatesLinkDependencies {
  readonly log: LogService;
  readonly stream: string;
  readonly clock: Clock;
  /** Longest wait of one read for something new. */
  readonly longPoll: number;
  readonly retryInterval: number;
}

/** All other routers, whose addresses the log doesn't need. */
export const allRouters: { readonly at: DatagramAddress } = { at: { address: "log", port: 0 } };

/** A router that starts takes what was told in so long before: crashes that were too few then still count. */
const newsMemory = 600_000;

const pageSize = 200;

const originBytes = 6;

const separator = " ";

const writeLog = createLogger("quarantine");

/** Follows the stream until it is disposed of. */
export class LogUpdatesLink extends DatagramLink {
  override readonly port = 0;
  private readonly parts: LogUpdatesLinkDependencies;
  /** Tells this process from others: what it told itself it knows. */
  private readonly origin = randomBytes(originBytes).toString("base64url");
  private readonly listeners: ((datagram: Buffer, from: DatagramAddress) => void)[] = [];
  private readonly over = new AbortController();

  constructor(parts: LogUpdatesLinkDependencies) {
    super();
    this.parts = parts;
    void this.follow();
  }

  override send(_to: DatagramAddress, datagram: Buffer): void {
    const { log, stream } = this.parts;
    const record = `${this.origin}${separator}${datagram.toString("base64")}`;
    log.append(stream, [record]).catch((error: unknown) => {
      writeLog("news_not_told", { reason: String(error) });
    });
  }

  override receive(listener: (datagram: Buffer, from: DatagramAddress) => void): void {
    this.listeners.push(listener);
  }

  override [Symbol.asyncDispose](): Promise<void> {
    this.over.abort();
    return Promise.resolve();
  }

  private take({ data, appendedAt }: LogRecord): void {
    const [origin, encoded = ""] = data.split(separator);
    if (origin === this.origin || appendedAt < this.parts.clock.wall() - newsMemory) return;
    for (const listener of this.listeners) listener(Buffer.from(encoded, "base64"), allRouters.at);
  }

  private async follow(): Promise<void> {
    const { log, stream, clock, longPoll, retryInterval } = this.parts;
    let from = 0;
    let isFailing = false;
    while (!this.over.signal.aborted) {
      try {
        const page = await log.read(stream, from, pageSize, longPoll);
        page.records.forEach((record) => this.take(record));
        const last = page.records.at(-1)?.offset;
        from = last === undefined ? Math.max(from, page.nextOffset) : last + 1;
        isFailing = false;
      } catch (error) {
        if (!isFailing) writeLog("news_not_read", { reason: String(error) });
        isFailing = true;
        await pause(clock, retryInterval, this.over.signal);
      }
    }
  }
}
