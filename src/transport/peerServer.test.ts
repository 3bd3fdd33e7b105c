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
const encoded = (nextWithin: number): Uint8Array =>
  toBinary(PeerMessageSchema, create(PeerMessageSchema, { nextWithin }));

/** A server that lets everybody in who proves the secret, and remembers what it was sent. */
const startServer = async (serverSecret = secret) => {
  const resources = createResourceStack();
  const metrics = new MemoryMetrics();
  const received: PeerMessage[] = [];
  let told = (): void => undefined;
  const events = { lost: 0 };
  const handler: PeerHandler = {
    answer: () => create(AnswerSchema, { body: { case: "joined", value: { accepted: true, session } } }),
    receive: (_sender, message) => {
      received.push(message);
      told();
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
    /** Resolves when a number of messages have come. */
    hasReceived: async (count: number): Promise<void> => {
      while (received.length < count) await new Promise<void>((resolve) => (told = resolve));
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
    link.send(encoded(1));
    link.send(toBinary(PeerMessageSchema, create(PeerMessageSchema, { nextWithin: 2, configurationState })));
    link.send(encoded(3));
    await server.hasReceived(3);
    expect(server.received.map((message) => message.nextWithin)).toEqual([1, 2, 3]);
    expect(server.received[1]?.configurationState).toEqual(configurationState);
    link.send(encoded(100));
    await link.ended;
    expect(link.send(encoded(4))).toEqual(false);
    expect(server.events.lost).toEqual(1);
  });

  it("refuses and counts a stranger's question", async () => {
    await using server = await startServer("the-secret-of-other-routers-0123456789");
    expect(await faultOf(server.network.ask(server.url, join, signal))).toEqual("refused");
    expect(server.metrics.snapshot()).toEqual({ "peer_refusals{reason=forged}": 1 });
  });

  it("does not believe a stranger's answer", async () => {
    await using server = await startServer();
    const seals = createSeals(secret, Date.now);
    // Knows how to open questions but not how to seal answers.
    const stranger = {
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
      seals: stranger,
      handler,
      metrics,
      address: "127.0.0.1",
      port: 0,
    });
    expect(await faultOf(server.network.ask(listening.url, join, signal))).toEqual("forged");
  });

  it("refuses and counts a stranger's stream: no session, another's session, no proof", async () => {
    await using server = await startServer();
    const transport = createConnectTransport({ baseUrl: server.url, httpVersion: "2" });
    const stranger = createClient(PeerService, transport);
    const send = async (headers: Readonly<Record<string, string>>): Promise<string> => {
      const messages = async function* () {
        yield await Promise.resolve(create(SealedMessageSchema, { payload: encoded(1) }));
      };
      return stranger.send(messages(), { headers }).then(
        () => "taken",
        () => "refused",
      );
    };
    const name = Buffer.from(session).toString("hex");
    expect(await send({})).toEqual("refused");
    expect(await send({ [sessionHeader]: name })).toEqual("refused");
    await server.network.ask(server.url, join, signal);
    expect(await send({ [sessionHeader]: name })).toEqual("refused");
    expect(server.received).toEqual([]);
    expect(server.metrics.snapshot()).toEqual({ "peer_refusals{reason=forged}": 3 });
  });
});
