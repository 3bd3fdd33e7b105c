/**
 * Carries crash updates between routers of the product's own interface over a stream of the log service. These routers
 * exchange no datagrams, crashes are rare, and the log outlasts a restart of all routers.
 */
import { randomBytes } from "node:crypto";
import { DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { DatagramAddress } from "../../protocol/forwarding/DatagramLink.ts";
import type { LogService } from "../../protocol/LogService.ts";
import type { LogRecord } from "../../protocol/types.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { runInBackground } from "../../state/backgroundTasks.ts";

/** Durations are milliseconds. */
export interface LogUpdatesLinkDependencies {
  readonly log: LogService;
  readonly stream: string;
  readonly clock: Clock;
  /** Timeout of a long poll: how long one read waits for a new record. */
  readonly longPoll: number;
  readonly retryInterval: number;
}

/** Placeholder address of all other routers: a record in the log reaches every router that follows the stream. */
export const allRouters: { readonly at: DatagramAddress } = { at: { address: "log", port: 0 } };

/**
 * Age up to which a starting router applies earlier updates, milliseconds: crashes from before its start count
 * towards the threshold.
 */
const maxUpdateAge = 600_000;

const pageSize = 200;

const originBytes = 6;

const separator = " ";

const writeLog = createLogger("quarantine");

/** Follows the stream until it is disposed of. */
export class LogUpdatesLink extends DatagramLink {
  override readonly port = 0;
  private readonly dependencies: LogUpdatesLinkDependencies;
  /** Identifies this process, which skips its own records. */
  private readonly origin = randomBytes(originBytes).toString("base64url");
  private readonly listeners: ((datagram: Buffer, from: DatagramAddress) => void)[] = [];
  private readonly stop = new AbortController();

  constructor(dependencies: LogUpdatesLinkDependencies) {
    super();
    this.dependencies = dependencies;
    runInBackground("followCrashUpdates", () => this.follow());
  }

  override send(_to: DatagramAddress, datagram: Buffer): void {
    const { log, stream } = this.dependencies;
    const record = `${this.origin}${separator}${datagram.toString("base64")}`;
    log.append(stream, [record]).catch((error: unknown) => {
      writeLog("news_not_told", { reason: String(error) });
    });
  }

  override receive(listener: (datagram: Buffer, from: DatagramAddress) => void): void {
    this.listeners.push(listener);
  }

  override [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    return Promise.resolve();
  }

  private deliver({ data, appendedAt }: LogRecord): void {
    const [origin, encoded = ""] = data.split(separator);
    if (origin === this.origin || appendedAt < this.dependencies.clock.wall() - maxUpdateAge) return;
    for (const listener of this.listeners) listener(Buffer.from(encoded, "base64"), allRouters.at);
  }

  private async follow(): Promise<void> {
    const { log, stream, clock, longPoll, retryInterval } = this.dependencies;
    let from = 0;
    let isFailing = false;
    while (!this.stop.signal.aborted) {
      try {
        const page = await log.read(stream, from, pageSize, longPoll);
        page.records.forEach((record) => this.deliver(record));
        const last = page.records.at(-1)?.offset;
        from = last === undefined ? Math.max(from, page.nextOffset) : last + 1;
        isFailing = false;
      } catch (error) {
        if (!isFailing) writeLog("news_not_read", { reason: String(error) });
        isFailing = true;
        await pause(clock, retryInterval, this.stop.signal);
      }
    }
  }
}
