/** Datagrams between routers in one process, under a test's clock. */
import type { ManualClock } from "../../src/coordination/manualClock.ts";
import type { DatagramAddress } from "../../src/protocol/forwarding/DatagramLink.ts";
import { DatagramLink } from "../../src/protocol/forwarding/DatagramLink.ts";

/** Datagrams in memory, with a delay, and none while the network is down. */
export class MemoryNetwork {
  delay = 1;
  isDown = false;
  /** One datagram of so many is lost; none with 0. */
  lostOfEach = 0;
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

  open(port: number): DatagramLink {
    const from = { address: "10.0.0.1", port };
    // A process that starts anew at a port takes the place of the one before.
    this.listeners.delete(port);
    const send = (to: DatagramAddress, datagram: Buffer): void => {
      this.sent += 1;
      if (this.isDown || this.frozen.has(port)) return;
      if (this.lostOfEach > 0 && this.sent % this.lostOfEach === 0) return;
      const deliver = (): void => {
        for (const listener of this.listeners.get(to.port) ?? []) listener(datagram, from);
      };
      this.clock.after(this.delay, () => {
        const waiting = this.frozen.get(to.port);
        if (waiting === undefined) deliver();
        else waiting.push(deliver);
      });
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
