/** Where a datagram came from or goes to. */
export interface DatagramAddress {
  readonly address: string;
  readonly port: number;
}

/** Datagrams between routers; any of them may be lost. */
export abstract class DatagramLink implements AsyncDisposable {
  /** Where this end receives. */
  abstract readonly port: number;

  abstract send(to: DatagramAddress, datagram: Buffer): void;

  /** @param listener - Gets every datagram from now on. */
  abstract receive(listener: (datagram: Buffer, from: DatagramAddress) => void): void;

  abstract [Symbol.asyncDispose](): Promise<void>;
}
