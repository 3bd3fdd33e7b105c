/** Datagrams between routers in one process, under a test's clock. */
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import type { DatagramAddress } from "../../src/protocol/forwarding/DatagramLink.ts";
import { DatagramLink } from "../../src/protocol/forwarding/DatagramLink.ts";

/** Datagrams in memory, with a delay, and none while the network is down. */
export class MemoryNetwork {
  delay = 1;
  isDown = false;
  /** One datagram of so many is lost; none with 0. */
  loseEveryNth = 0;
  /** One datagram of so many comes twice; none with 0. */
  duplicateEveryNth = 0;
  /** One datagram of so many comes later by {@link extraDelay}; none with 0. */
  delayEveryNth = 0;
  /** Milliseconds. */
  extraDelay = 0;
  /** Ports that reach only one another. */
  isolatedPorts: ReadonlySet<number> = new Set();
  /** Datagrams so far. */
  sent = 0;
  /** Ports whose processes stand still: what comes for them waits, and they send nothing. */
  private readonly frozen = new Map<number, (() => void)[]>();
  private readonly clock: ManualClock;
  private readonly listeners = new Map<number, ((datagram: Buffer, from: DatagramAddress) => void)[]>();

  constructor(clock: ManualClock) {
    this.clock = clock;
  }

  freeze(port: number): void {
    if (!this.frozen.has(port)) this.frozen.set(port, []);
  }

  thaw(port: number): void {
    const waiting = this.frozen.get(port) ?? [];
    this.frozen.delete(port);
    for (const deliver of waiting) deliver();
  }

  /** Whether the last datagram is one of each so many. */
  private isEach(count: number): boolean {
    return count > 0 && this.sent % count === 0;
  }

  open(port: number): DatagramLink {
    const from = { address: "10.0.0.1", port };
    // A process that starts anew at a port takes the place of the one before.
    this.listeners.delete(port);
    const send = (to: DatagramAddress, datagram: Buffer): void => {
      this.sent += 1;
      if (this.isDown || this.frozen.has(port)) return;
      if (this.isEach(this.loseEveryNth) || this.isolatedPorts.has(port) !== this.isolatedPorts.has(to.port))
        return;
      const deliver = (): void => {
        for (const listener of this.listeners.get(to.port) ?? []) listener(datagram, from);
      };
      const arrive = (): void => {
        const waiting = this.frozen.get(to.port);
        if (waiting === undefined) deliver();
        else waiting.push(deliver);
      };
      this.clock.after(this.delay + (this.isEach(this.delayEveryNth) ? this.extraDelay : 0), arrive);
      if (this.isEach(this.duplicateEveryNth)) this.clock.after(this.delay * 2, arrive);
    };
    const receive = (listener: (datagram: Buffer, from: DatagramAddress) => void): void => {
      this.listeners.set(port, [...(this.listeners.get(port) ?? []), listener]);
    };
    return new (class extends DatagramLink {
      override readonly port = port;
      override send = send;
      override receive = receive;
      override [Symbol.asyncDispose] = () => Promise.resolve();
    })();
  }
}
