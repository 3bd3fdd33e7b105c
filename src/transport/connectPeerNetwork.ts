/** Connections to peers by Connect over HTTP/2: one for each peer, for its stream and for questions. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import type { Client } from "@connectrpc/connect";
import { compressionGzip, createConnectTransport } from "@connectrpc/connect-node";
import {
  compressionThresholdBytes,
  maximumMessageBytes,
  sessionHeader,
} from "../protocol/peers/constants.ts";
import { peerError } from "../protocol/peers/errors.ts";
import {
  AnswerSchema,
  PeerService,
  QuestionSchema,
  SealedMessageSchema,
} from "../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type {
  Answer,
  Question,
  SealedMessage,
} from "../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerLink } from "../protocol/peers/PeerNetwork.ts";
import { PeerNetwork } from "../protocol/peers/PeerNetwork.ts";
import type { Seals } from "../protocol/peers/seals.ts";
import { createMessageProof } from "../protocol/peers/seals.ts";
import { toPeerError } from "./peerFailures.ts";
import { createPeerQueue } from "./peerQueue.ts";
import type { PeerSession } from "./peerSession.ts";
import { createPeerSession } from "./peerSession.ts";

/** Unsent bytes at which a stream is given up. */
const maximumUnsentBytes = 8 * 1024 * 1024;

interface Connection {
  readonly client: Client<typeof PeerService>;
  readonly session: PeerSession;
}

const connect = (url: string): Connection => {
  const session = createPeerSession(url);
  const transport = createConnectTransport({
    baseUrl: url,
    httpVersion: "2",
    sessionManager: session,
    sendCompression: compressionGzip,
    compressMinBytes: compressionThresholdBytes,
    readMaxBytes: maximumMessageBytes,
  });
  return { client: createClient(PeerService, transport), session };
};

const parseAnswer = (payload: Uint8Array): Answer => {
  try {
    return fromBinary(AnswerSchema, payload);
  } catch (cause) {
    throw peerError("The peer's answer is malformed.", "malformed", cause);
  }
};

/** Seals messages in the order in which they are sent. */
const sealMessages = async function* (
  key: Uint8Array,
  messages: AsyncIterable<Uint8Array>,
): AsyncIterable<SealedMessage> {
  let sequence = 0;
  for await (const payload of messages) {
    yield create(SealedMessageSchema, { payload, proof: createMessageProof(key, sequence, payload) });
    sequence += 1;
  }
};

/**
 * Makes a process's connections to its peers.
 *
 * @returns The network; disposing it ends every stream and call.
 */
export const createConnectPeerNetwork = (seals: Seals): PeerNetwork & AsyncDisposable => {
  const connections = new Map<string, Connection>();

  const connectionTo = (url: string): Connection => {
    const known = connections.get(url);
    if (known !== undefined) return known;
    const made = connect(url);
    connections.set(url, made);
    return made;
  };

  const drop = (url: string, connection: Connection): void => {
    if (connections.get(url) === connection) connections.delete(url);
    connection.session.abort();
  };

  const ask = async (url: string, question: Question, signal: AbortSignal): Promise<Answer> => {
    const sealed = seals.sealQuestion(toBinary(QuestionSchema, question));
    const connection = connectionTo(url);
    try {
      const answer = await connection.client.ask(sealed, { signal });
      return parseAnswer(seals.openAnswer(sealed, answer));
    } catch (cause) {
      const error = toPeerError(url, cause);
      if (error.fault === "unreachable") drop(url, connection);
      throw error;
    }
  };

  const open = (url: string, session: Uint8Array): PeerLink => {
    const connection = connectionTo(url);
    const queue = createPeerQueue(maximumUnsentBytes);
    const stop = new AbortController();
    const sealed = sealMessages(seals.streamKey(session), queue.messages());
    const header = { [sessionHeader]: Buffer.from(session).toString("hex") };
    const ended = connection.client
      .send(sealed, { headers: header, signal: stop.signal })
      .then(
        () => undefined,
        () => undefined,
      )
      .finally(() => {
        queue.end();
        drop(url, connection);
      });
    return {
      send: (message) => {
        const taken = queue.add(message);
        if (!taken) stop.abort();
        return taken;
      },
      ended,
      [Symbol.asyncDispose]: async () => {
        queue.end();
        stop.abort();
        await ended;
      },
    };
  };

  class ConnectPeerNetwork extends PeerNetwork implements AsyncDisposable {
    override ask(url: string, question: Question, signal: AbortSignal): Promise<Answer> {
      return ask(url, question, signal);
    }

    override open(url: string, session: Uint8Array): PeerLink {
      return open(url, session);
    }

    [Symbol.asyncDispose](): Promise<void> {
      for (const connection of connections.values()) connection.session.abort();
      connections.clear();
      return Promise.resolve();
    }
  }

  return new ConnectPeerNetwork();
};
