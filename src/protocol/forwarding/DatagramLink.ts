/** The source or destination of a datagram. */
export interface DatagramAddress {
  readonly address: string;
  readonly port: number;
}

/** Sends and receives datagrams between routers. Delivery is not guaranteed. */
export abstract class DatagramLink implements AsyncDisposable {
  /** The local port on which this link receives. */
  abstract readonly port: number;

  abstract send(to: DatagramAddress, datagram: Buffer): void;

  /** @param listener - Called for every datagram that arrives from now on. */
  abstract receive(listener: (datagram: Buffer, from: DatagramAddress) => void): void;

  abstract [Symbol.asyncDispose](): Promise<void>;
}
