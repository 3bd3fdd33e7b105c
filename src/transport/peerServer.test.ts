import { expect } from "earl";
import { describe, it } from "node:test";
import { create, toBinary } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { sessionHeader } from "../protocol/peers/constants.ts";
import { PeerError } from "../protocol/peers/errors.ts";
import {
  AnswerSchema,
  PeerMessageSchema,
  PeerService,
  QuestionSchema,
  SealedMessageSchema,
} from "../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerMessage, Question } from "../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerHandler } from "../protocol/peers/PeerNetwork.ts";
import { createSeals } from "../protocol/peers/seals.ts";
import { createResourceStack } from "../protocol/resourceStack.ts";
import { MemoryMetrics } from "../state/MemoryMetrics.ts";
import { createConnectPeerNetwork } from "./connectPeerNetwork.ts";
import { startPeerServer } from "./peerServer.ts";

const secret = "a-secret-that-all-routers-share-0123456789";
const router = { name: "router-1", dataCentre: "amman-north", incarnation: 1, peerUrl: "http://127.0.0.1:1" };
const session = new Uint8Array(16).fill(7);
const join: Question = create(QuestionSchema, { body: { case: "join", value: { router } } });
const encodeMessage = (nextWithin: number): Uint8Array =>
  toBinary(PeerMessageSchema, create(PeerMessageSchema, { nextWithin }));

/** Starts a server that accepts every router that has the secret, and records the messages it receives. */
const startServer = async (serverSecret = secret) => {
  const resources = createResourceStack();
  const metrics = new MemoryMetrics();
  const received: PeerMessage[] = [];
  let notifyReceived = (): void => undefined;
  const events = { lost: 0 };
  const handler: PeerHandler = {
    answer: () => create(AnswerSchema, { body: { case: "joined", value: { accepted: true, session } } }),
    receive: (_sender, message) => {
      received.push(message);
      notifyReceived();
      return message.nextWithin < 100;
    },
    streamEnded: () => (events.lost += 1),
  };
  const seals = createSeals(serverSecret, Date.now);
  const server = resources.use(
    await startPeerServer({ seals, handler, metrics, address: "127.0.0.1", port: 0 }),
  );
  const network = resources.use(createConnectPeerNetwork(createSeals(secret, Date.now)));
  return {
    url: server.url,
    metrics,
    network,
    received,
    events,
    /** Resolves when `count` messages have been received. */
    hasReceived: async (count: number): Promise<void> => {
      while (received.length < count) await new Promise<void>((resolve) => (notifyReceived = resolve));
    },
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};

const faultOf = async (action: Promise<unknown>): Promise<string> =>
  action.then(
    () => "none",
    (error: unknown) => (error instanceof PeerError ? error.fault : "other"),
  );

describe("peers over HTTP/2", { timeout: 20_000 }, () => {
  const signal = new AbortController().signal;

  it("carries a stream's messages in order, large ones too, until the receiver ends it", async () => {
    await using server = await startServer();
    await server.network.ask(server.url, join, signal);
    const link = server.network.open(server.url, session);
    const configurationState = "x".repeat(300_000);
    link.send(encodeMessage(1));
    link.send(toBinary(PeerMessageSchema, create(PeerMessageSchema, { nextWithin: 2, configurationState })));
    link.send(encodeMessage(3));
    await server.hasReceived(3);
    expect(server.received.map((message) => message.nextWithin)).toEqual([1, 2, 3]);
    expect(server.received[1]?.configurationState).toEqual(configurationState);
    link.send(encodeMessage(100));
    await link.ended;
    expect(link.send(encodeMessage(4))).toEqual(false);
    expect(server.events.lost).toEqual(1);
  });

  it("refuses and counts a question sealed with another secret", async () => {
    await using server = await startServer("the-secret-of-other-routers-0123456789");
    expect(await faultOf(server.network.ask(server.url, join, signal))).toEqual("refused");
    expect(server.metrics.snapshot()).toEqual({ "peer_refusals{reason=forged}": 1 });
  });

  it("rejects an answer sealed with another secret", async () => {
    await using server = await startServer();
    const seals = createSeals(secret, Date.now);
    // Opens questions with the right secret, but seals answers with another.
    const mixedSeals = {
      ...seals,
      sealAnswer: createSeals("the-secret-of-other-routers-0123456789", Date.now).sealAnswer,
    };
    const handler: PeerHandler = {
      answer: () => create(AnswerSchema),
      receive: () => true,
      streamEnded: () => undefined,
    };
    const metrics = new MemoryMetrics();
    await using listening = await startPeerServer({
      seals: mixedSeals,
      handler,
      metrics,
      address: "127.0.0.1",
      port: 0,
    });
    expect(await faultOf(server.network.ask(listening.url, join, signal))).toEqual("forged");
  });

  it("refuses and counts a stream without session, with an unknown session, or without proof", async () => {
    await using server = await startServer();
    const transport = createConnectTransport({ baseUrl: server.url, httpVersion: "2" });
    const client = createClient(PeerService, transport);
    const send = async (headers: Readonly<Record<string, string>>): Promise<string> => {
      const messages = async function* () {
        yield await Promise.resolve(create(SealedMessageSchema, { payload: encodeMessage(1) }));
      };
      return client.send(messages(), { headers }).then(
        () => "taken",
        () => "refused",
      );
    };
    const sessionId = Buffer.from(session).toString("hex");
    expect(await send({})).toEqual("refused");
    expect(await send({ [sessionHeader]: sessionId })).toEqual("refused");
    await server.network.ask(server.url, join, signal);
    expect(await send({ [sessionHeader]: sessionId })).toEqual("refused");
    expect(server.received).toEqual([]);
    expect(server.metrics.snapshot()).toEqual({ "peer_refusals{reason=forged}": 3 });
  });
});
