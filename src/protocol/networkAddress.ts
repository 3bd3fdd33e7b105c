/** Addresses of sockets, as records and settings contain them. */
import { isIPv4 } from "node:net";

declare const validated: unique symbol;

/** `IP:PORT` that a connection can be opened to: an IPv4 address and a port from 1 to 65,535. */
export type NetworkAddress = string & { readonly [validated]: true };

/** The parts of `IP:PORT`. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

export const maxPort = 65_535;

const pattern = /^([\d.]+):(\d{1,5})$/;

/** @returns The parts of `IP:PORT`; `undefined` for another text. Port 0 stands for one that is free. */
export const parseHostAndPort = (text: string): HostAndPort | undefined => {
  const [, host = "", digits = ""] = pattern.exec(text) ?? [];
  const port = Number(digits);
  return isIPv4(host) && port <= maxPort ? { host, port } : undefined;
};

/** Whether a number is a port that a connection can be opened to. */
export const isPort = (port: number): boolean => Number.isInteger(port) && port >= 1 && port <= maxPort;

/** @returns The address; `undefined` if no connection can be opened to it. */
export const parseNetworkAddress = (text: string): NetworkAddress | undefined => {
  const parts = parseHostAndPort(text);
  return parts !== undefined && isPort(parts.port) ? (text as NetworkAddress) : undefined;
};

/** Splits an address for functions that take host and port apart. */
export const hostAndPortOf = (address: NetworkAddress): HostAndPort => {
  const parts = parseHostAndPort(address);
  if (parts === undefined) throw new TypeError(`${address} is no network address`);
  return parts;
};

/**
 * Creates an address from a text that is known to be valid.
 *
 * @throws `TypeError` if it is not.
 */
export const toNetworkAddress = (text: string): NetworkAddress => {
  const address = parseNetworkAddress(text);
  if (address === undefined) throw new TypeError(`${text} is no network address`);
  return address;
};
