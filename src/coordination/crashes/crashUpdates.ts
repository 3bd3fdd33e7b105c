/** Tells the other routers what this one has learned of crashes, twice, since datagrams get lost. */
import type { DatagramAddress, DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { CrashMessage, ReplicaCrash } from "../../protocol/forwarding/crashMessage.ts";
import { decodeCrashMessage, encodeCrashMessage } from "../../protocol/forwarding/crashMessage.ts";
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { Clock } from "../clock.ts";
import {
  answerNewsDelays,
  crashNewsGathering,
  mostMessagesKnown,
  mostNamed,
  tellingAgain,
} from "./constants.ts";

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

/** See {@link createCrashNews}. */
export interface CrashNews extends AsyncDisposable {
  /** Tells with other crashes of the same moment. */
  readonly tellCrash: (crash: ReplicaCrash) => void;
  readonly tellHeld: (fingerprint: Fingerprint) => void;
  /** Tells in a moment, unless another router does first. */
  readonly tellAnswered: (fingerprint: Fingerprint) => void;
}

/** Message numbers of a process begin somewhere below this one. */
const numberOrigins = 2 ** 48;

/** @returns The items in pieces that fit into a datagram. */
const inPieces = <T>(items: readonly T[]): readonly (readonly T[])[] =>
  Array.from({ length: Math.ceil(items.length / mostNamed) }, (_, index) =>
    items.slice(index * mostNamed, (index + 1) * mostNamed),
  );

/** @returns Crashes in groups that fit into a datagram; what is too much for one is cut. */
const inGroups = (crashes: readonly ReplicaCrash[]): readonly (readonly ReplicaCrash[])[] => {
  const cut = crashes.flatMap(({ replica, suspects }) =>
    inPieces(suspects).map((piece) => ({ replica, suspects: piece })),
  );
  const groups: ReplicaCrash[][] = [];
  let named = mostNamed;
  for (const crash of cut) {
    named += crash.suspects.length;
    if (named <= mostNamed) groups.at(-1)?.push(crash);
    else {
      groups.push([crash]);
      named = crash.suspects.length;
    }
  }
  return groups;
};

/** Takes what others tell until it is disposed of. */
export const createCrashNews = ({ link, clock, others, take, random }: CrashNewsParts): CrashNews => {
  const calledOff = new Set<() => void>();
  const known = new Set<number>();
  const crashes: ReplicaCrash[] = [];
  const answered = new Set<Fingerprint>();
  let number = Math.floor(random() * numberOrigins);

  const later = (delay: number, act: () => void): void => {
    const callOff = clock.after(delay, () => {
      calledOff.delete(callOff);
      act();
    });
    calledOff.add(callOff);
  };

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
    later(tellingAgain, () => sendAll(datagram));
  };

  const sendCrashes = (): void => {
    for (const group of inGroups(crashes.splice(0))) {
      send({ kind: "crash", number: nextNumber(), crashes: group });
    }
  };

  const sendAnswered = (): void => {
    for (const fingerprints of inPieces([...answered])) {
      send({ kind: "answered", number: nextNumber(), fingerprints });
    }
    answered.clear();
  };

  /** @returns Whether a message has come before. */
  const isKnown = (message: CrashMessage): boolean => {
    if (known.has(message.number)) return true;
    known.add(message.number);
    const oldest = known.values().next();
    if (known.size > mostMessagesKnown && oldest.done !== true) known.delete(oldest.value);
    return false;
  };

  link.receive((datagram) => {
    const message = decodeCrashMessage(datagram);
    if (message === undefined || isKnown(message)) return;
    if (message.kind === "answered") message.fingerprints.forEach((each) => answered.delete(each));
    take(message);
  });

  return {
    tellCrash: (crash) => {
      if (crashes.length === 0) later(crashNewsGathering, sendCrashes);
      crashes.push(crash);
    },
    tellHeld: (fingerprint) => send({ kind: "held", number: nextNumber(), fingerprints: [fingerprint] }),
    tellAnswered: (fingerprint) => {
      const { shortest, longest } = answerNewsDelays;
      if (answered.size === 0) later(shortest + random() * (longest - shortest), sendAnswered);
      answered.add(fingerprint);
    },
    [Symbol.asyncDispose]: () => {
      for (const callOff of calledOff) callOff();
      return Promise.resolve();
    },
  };
};
