/** Tells the other routers at once what this one has learned of crashes, and again a few times. */
import type { DatagramAddress, DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { CrashMessage, ReplicaCrash } from "../../protocol/forwarding/crashMessage.ts";
import { decodeCrashMessage, encodeCrashMessage } from "../../protocol/forwarding/crashMessage.ts";
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { Clock } from "../clock.ts";
import { mostMessagesKnown, mostNamed, tellingAgain } from "./constants.ts";

/** What telling works with. */
export interface CrashNewsParts {
  readonly link: DatagramLink;
  readonly clock: Clock;
  /** @returns The other routers that may be serving, silent ones included. */
  readonly others: () => readonly { readonly at: DatagramAddress }[];
  /** Takes each message once: what was said of a crash must not be said anew after an answer. */
  readonly take: (message: CrashMessage) => void;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** Message numbers of a process begin somewhere below this one. */
const numberOrigins = 2 ** 48;

/** See {@link createCrashNews}. */
export interface CrashNews extends AsyncDisposable {
  readonly tellCrash: (crash: ReplicaCrash) => void;
  readonly tell: (kind: "held" | "answered", fingerprint: Fingerprint) => void;
}

/** @returns The items in pieces that fit into a datagram. */
const inPieces = <T>(items: readonly T[]): readonly (readonly T[])[] =>
  Array.from({ length: Math.ceil(items.length / mostNamed) }, (_, index) =>
    items.slice(index * mostNamed, (index + 1) * mostNamed),
  );

/** Takes what others tell until it is disposed of. */
export const createCrashNews = ({ link, clock, others, take, random }: CrashNewsParts): CrashNews => {
  const calledOff = new Set<() => void>();
  const known = new Set<number>();
  let number = Math.floor(random() * numberOrigins);

  const sendAll = (datagram: Buffer): void => {
    for (const { at } of others()) link.send(at, datagram);
  };

  const nextNumber = (): number => {
    number += 1;
    return number;
  };

  const send = (message: CrashMessage): void => {
    const datagram = encodeCrashMessage(message);
    sendAll(datagram);
    for (const delay of tellingAgain) {
      const callOff = clock.after(delay, () => {
        calledOff.delete(callOff);
        sendAll(datagram);
      });
      calledOff.add(callOff);
    }
  };

  link.receive((datagram) => {
    const message = decodeCrashMessage(datagram);
    if (message === undefined || known.has(message.number)) return;
    known.add(message.number);
    const oldest = known.values().next();
    if (known.size > mostMessagesKnown && oldest.done !== true) known.delete(oldest.value);
    take(message);
  });

  return {
    tellCrash: ({ replica, suspects }) => {
      for (const piece of inPieces(suspects))
        send({ kind: "crash", number: nextNumber(), replica, suspects: piece });
    },
    tell: (kind, fingerprint) => send({ kind, number: nextNumber(), fingerprints: [fingerprint] }),
    [Symbol.asyncDispose]: () => {
      for (const callOff of calledOff) callOff();
      return Promise.resolve();
    },
  };
};
