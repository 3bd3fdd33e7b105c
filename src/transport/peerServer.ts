/** Where peers connect: Connect over HTTP/2, every payload checked against the shared secret. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { GenMessage } from "@bufbuild/protobuf/codegenv2";
import type { Message } from "@bufbuild/protobuf";
import type { HandlerContext } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { createServer } from "node:http2";
import type { ServerHttp2Session } from "node:http2";
import type { AddressInfo } from "node:net";
import { maximumMessageBytes, sessionHeader } from "../protocol/peers/constants.ts";
import { peerError, PeerError } from "../protocol/peers/errors.ts";
import {
  AnswerSchema,
  PeerMessageSchema,
  PeerService,
  QuestionSchema,
  SendEndedSchema,
} from "../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type {
  Router,
  SealedAnswer,
  SealedMessage,
  SealedQuestion,
  SendEnded,
} from "../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerHandler } from "../protocol/peers/PeerNetwork.ts";
import type { Seals } from "../protocol/peers/seals.ts";
import { verifyMessageProof } from "../protocol/peers/seals.ts";
import { metricNames } from "../state/constants.ts";
import type { Metrics } from "../state/Metrics.ts";
import { toConnectError } from "./peerFailures.ts";

/** Sessions that joined and have not opened their stream; the oldest give way. */
const maximumUnopened = 1_000;

/** What a server works with. */
export interface PeerServerParts {
  readonly seals: Seals;
  readonly handler: PeerHandler;
  readonly metrics: Metrics;
  readonly address: string;
  /** 0: any free port. */
  readonly port: number;
}

/** A listening server. */
export interface PeerServer extends AsyncDisposable {
  /** `http://IP:PORT`. */
  readonly url: string;
  /** Ends every connection; peers come again by themselves. For tests of broken connections. */
  readonly dropConnections: () => void;
  /** Bytes over all open connections, without TCP's own. */
  readonly traffic: () => Traffic;
}

/** Bytes of connections. */
export interface Traffic {
  readonly received: number;
  readonly sent: number;
}

const parse = <T extends Message>(schema: GenMessage<T>, payload: Uint8Array): T => {
  try {
    return fromBinary(schema, payload);
  } catch (cause) {
    throw peerError("What the peer sent is malformed.", "malformed", cause);
  }
};

/** Starts a server. */
export const startPeerServer = async (parts: PeerServerParts): Promise<PeerServer> => {
  const { seals, handler, metrics } = parts;
  const joined = new Map<string, Router>();
  const connections = new Set<ServerHttp2Session>();

  /** Counts what was refused, and hides everything else from the caller. */
  const refuse = (error: unknown): never => {
    const reason = error instanceof PeerError ? error.fault : "internal";
    metrics.count(metricNames.peerRefusals, 1, { reason });
    throw toConnectError(error);
  };

  const noteJoined = (session: Uint8Array, router: Router): void => {
    joined.set(Buffer.from(session).toString("hex"), router);
    const [oldest] = joined.keys();
    if (joined.size > maximumUnopened && oldest !== undefined) joined.delete(oldest);
  };

  const ask = (sealed: SealedQuestion): SealedAnswer => {
    try {
      const question = parse(QuestionSchema, seals.openQuestion(sealed));
      const answer = handler.answer(question);
      const { body } = question;
      if (body.case === "join" && answer.body.case === "joined" && answer.body.value.accepted) {
        if (body.value.router !== undefined) noteJoined(answer.body.value.session, body.value.router);
      }
      return seals.sealAnswer(sealed, toBinary(AnswerSchema, answer));
    } catch (error) {
      return refuse(error);
    }
  };

  const takeSession = (header: string | null): Router => {
    const router = joined.get(header ?? "");
    if (router === undefined) throw peerError("The session is unknown.", "forged");
    joined.delete(header ?? "");
    return router;
  };

  const receive = async (
    router: Router,
    key: Uint8Array,
    messages: AsyncIterable<SealedMessage>,
  ): Promise<void> => {
    let sequence = 0;
    for await (const { payload, proof } of messages) {
      verifyMessageProof(key, sequence, payload, proof);
      sequence += 1;
      metrics.count(metricNames.peerMessages);
      if (!handler.receive(router, parse(PeerMessageSchema, payload))) {
        throw peerError("The sender's incarnation is out of date.", "refused");
      }
    }
  };

  const send = async (
    messages: AsyncIterable<SealedMessage>,
    { requestHeader }: HandlerContext,
  ): Promise<SendEnded> => {
    const header = requestHeader.get(sessionHeader);
    let router: Router | undefined;
    try {
      router = takeSession(header);
      await receive(router, seals.streamKey(Buffer.from(header ?? "", "hex")), messages);
      return create(SendEndedSchema);
    } catch (error) {
      if (error instanceof PeerError) return refuse(error);
      throw toConnectError(error);
    } finally {
      if (router !== undefined) handler.streamEnded(router);
    }
  };

  const server = createServer(
    connectNodeAdapter({
      routes: (router) => router.service(PeerService, { ask, send }),
      readMaxBytes: maximumMessageBytes,
    }),
  );
  server.on("session", (session) => {
    connections.add(session);
    session.on("close", () => connections.delete(session));
    session.on("error", () => session.destroy());
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(parts.port, parts.address, resolve);
  });
  const { address, port } = server.address() as AddressInfo;

  const dropConnections = (): void => {
    for (const connection of connections) connection.destroy();
  };

  const traffic = (): Traffic => {
    const open = [...connections].filter((connection) => !connection.destroyed);
    const sockets = open.map(({ socket }) => socket);
    return {
      received: sockets.reduce((sum, { bytesRead }) => sum + bytesRead, 0),
      sent: sockets.reduce((sum, { bytesWritten }) => sum + bytesWritten, 0),
    };
  };

  return {
    traffic,
    url: `http://${address.includes(":") ? `[${address}]` : address}:${port}`,
    dropConnections,
    [Symbol.asyncDispose]: async () => {
      const closed = new Promise<void>((resolve) => server.close(() => resolve()));
      dropConnections();
      await closed;
    },
  };
};
