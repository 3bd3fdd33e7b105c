/** Exchanges crash updates with the other routers. Each message is sent twice, since datagrams get lost. */
import type { DatagramAddress, DatagramLink } from "../../protocol/forwarding/DatagramLink.ts";
import type { CrashMessage, ReplicaCrash } from "../../protocol/forwarding/crashMessage.ts";
import { decodeCrashMessage, encodeCrashMessage } from "../../protocol/forwarding/crashMessage.ts";
import type { Fingerprint } from "../../protocol/forwarding/fingerprint.ts";
import type { RequestTrait } from "../../protocol/forwarding/requestTrait.ts";
import type { Clock } from "../clock.ts";
import {
  answerAnnouncementDelays,
  crashBatchInterval,
  maxKnownMessages,
  maxFingerprintsPerMessage,
  maxTraitsPerMessage,
  queriedPeers,
  retransmissionDelay,
} from "./constants.ts";

export interface CrashUpdatesDependencies {
  readonly link: DatagramLink;
  readonly clock: Clock;
  /** @returns The other routers that may be serving, unreachable ones included. */
  readonly others: () => readonly { readonly at: DatagramAddress }[];
  /** Called once for each message: a duplicate must not report a crash again that an answer has cleared since. */
  readonly onMessage: (message: CrashMessage, from: DatagramAddress) => void;
  /** @returns A number from 0 to 1. */
  readonly random: () => number;
}

export interface CrashUpdates extends AsyncDisposable {
  /** Announces a crash, in one message with others that follow shortly. */
  readonly announceCrash: (crash: ReplicaCrash) => void;
  readonly announceQuarantined: (trait: RequestTrait) => void;
  /** Asks a few other routers for all that they have quarantined. */
  readonly query: () => void;
  /** Answers a query. */
  readonly sendQuarantined: (to: DatagramAddress, traits: readonly RequestTrait[]) => void;
  /** Announces an answer after a short delay, unless another router does so first. */
  readonly announceAnswered: (fingerprint: Fingerprint) => void;
}

/** Each process numbers its messages from a random start below this bound. */
const firstNumberBound = 2 ** 48;

/** @returns The items in chunks that fit into a datagram. */
const splitIntoChunks = <T>(
  items: readonly T[],
  size: number = maxFingerprintsPerMessage,
): readonly (readonly T[])[] =>
  Array.from({ length: Math.ceil(items.length / size) }, (_, index) =>
    items.slice(index * size, (index + 1) * size),
  );

/** @returns Crashes in batches that fit into a datagram; a crash with too many suspects is split. */
const batchCrashes = (crashes: readonly ReplicaCrash[]): readonly (readonly ReplicaCrash[])[] => {
  const chunks = crashes.flatMap(({ replica, suspects }) =>
    splitIntoChunks(suspects).map((chunk) => ({ replica, suspects: chunk })),
  );
  const batches: ReplicaCrash[][] = [];
  let count = maxFingerprintsPerMessage;
  for (const crash of chunks) {
    count += crash.suspects.length;
    if (count <= maxFingerprintsPerMessage) batches.at(-1)?.push(crash);
    else {
      batches.push([crash]);
      count = crash.suspects.length;
    }
  }
  return batches;
};

/** Receives the messages of other routers until it is disposed of. */
export const createCrashUpdates = ({
  link,
  clock,
  others,
  onMessage,
  random,
}: CrashUpdatesDependencies): CrashUpdates => {
  const cancellations = new Set<() => void>();
  const known = new Set<number>();
  const crashes: ReplicaCrash[] = [];
  const answered = new Set<Fingerprint>();
  let number = Math.floor(random() * firstNumberBound);

  const schedule = (delay: number, task: () => void): void => {
    const cancel = clock.after(delay, () => {
      cancellations.delete(cancel);
      task();
    });
    cancellations.add(cancel);
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
    schedule(retransmissionDelay, () => sendAll(datagram));
  };

  const sendCrashes = (): void => {
    for (const batch of batchCrashes(crashes.splice(0))) {
      send({ kind: "crash", number: nextNumber(), crashes: batch });
    }
  };

  const sendAnswered = (): void => {
    for (const fingerprints of splitIntoChunks([...answered])) {
      send({ kind: "answered", number: nextNumber(), fingerprints });
    }
    answered.clear();
  };

  /** @returns Whether a message is a duplicate. */
  const isDuplicate = (message: CrashMessage): boolean => {
    if (known.has(message.number)) return true;
    known.add(message.number);
    const oldest = known.values().next();
    if (known.size > maxKnownMessages && oldest.done !== true) known.delete(oldest.value);
    return false;
  };

  link.receive((datagram, from) => {
    const message = decodeCrashMessage(datagram);
    if (message === undefined || isDuplicate(message)) return;
    if (message.kind === "answered") message.fingerprints.forEach((each) => answered.delete(each));
    onMessage(message, from);
  });

  return {
    announceCrash: (crash) => {
      if (crashes.length === 0) schedule(crashBatchInterval, sendCrashes);
      crashes.push(crash);
    },
    announceQuarantined: (trait) => send({ kind: "held", number: nextNumber(), traits: [trait] }),
    query: () => {
      const datagram = encodeCrashMessage({ kind: "query", number: nextNumber() });
      const peers = [...others()];
      for (let count = 0; count < queriedPeers && peers.length > 0; count += 1) {
        const [peer] = peers.splice(Math.floor(random() * peers.length), 1);
        if (peer !== undefined) link.send(peer.at, datagram);
      }
    },
    sendQuarantined: (to, traits) => {
      for (const chunk of splitIntoChunks(traits, maxTraitsPerMessage))
        link.send(to, encodeCrashMessage({ kind: "held", number: nextNumber(), traits: chunk }));
    },
    announceAnswered: (fingerprint) => {
      const { shortest, longest } = answerAnnouncementDelays;
      if (answered.size === 0) schedule(shortest + random() * (longest - shortest), sendAnswered);
      answered.add(fingerprint);
    },
    [Symbol.asyncDispose]: () => {
      for (const cancel of cancellations) cancel();
      return Promise.resolve();
    },
  };
};
