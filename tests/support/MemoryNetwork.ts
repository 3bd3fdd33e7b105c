/** Datagrams between routers in one process, on the clock of a test. */
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import type { DatagramAddress } from "../../src/protocol/forwarding/DatagramLink.ts";
import { DatagramLink } from "../../src/protocol/forwarding/DatagramLink.ts";

/** Delivers datagrams in memory after a delay, with the faults that a test sets. Times in milliseconds. */
export class MemoryNetwork {
  delay = 1;
  isDown = false;
  /** Loses every n-th datagram; 0 for none. */
  loseEveryNth = 0;
  /** Delivers every n-th datagram twice; 0 for none. */
  duplicateEveryNth = 0;
  /** Delivers every n-th datagram later by {@link extraDelay}; 0 for none. */
  delayEveryNth = 0;
  extraDelay = 0;
  /** Ports that can reach only one another. */
  isolatedPorts: ReadonlySet<number> = new Set();
  /** Datagrams sent so far, lost ones included. */
  sent = 0;
  /** Bytes of these datagrams. */
  sentBytes = 0;
  /** Ports of paused processes, with the deliveries that wait for them. They send nothing. */
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

  /** Whether the last datagram sent is an n-th one. */
  private isNth(count: number): boolean {
    return count > 0 && this.sent % count === 0;
  }

  open(port: number): DatagramLink {
    const from = { address: "10.0.0.1", port };
    // A new process at a port replaces the one before it.
    this.listeners.delete(port);
    const send = (to: DatagramAddress, datagram: Buffer): void => {
      this.sent += 1;
      this.sentBytes += datagram.length;
      if (this.isDown || this.frozen.has(port)) return;
      if (this.isNth(this.loseEveryNth) || this.isolatedPorts.has(port) !== this.isolatedPorts.has(to.port))
        return;
      const deliver = (): void => {
        for (const listener of this.listeners.get(to.port) ?? []) listener(datagram, from);
      };
      const arrive = (): void => {
        const waiting = this.frozen.get(to.port);
        if (waiting === undefined) deliver();
        else waiting.push(deliver);
      };
      this.clock.after(this.delay + (this.isNth(this.delayEveryNth) ? this.extraDelay : 0), arrive);
      if (this.isNth(this.duplicateEveryNth)) this.clock.after(this.delay * 2, arrive);
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
