/** Passes requests on to other routers over HTTP/1.1. */
import type { Pool } from "undici";
import { z } from "zod";
import { outcomes } from "../../protocol/constants.ts";
import type { RequestFailure } from "../../protocol/errors.ts";
import { upstreamError } from "../../protocol/errors.ts";
import { collectBody } from "../../protocol/forwarding/collectBody.ts";
import type { ForwardingWire } from "../../protocol/forwarding/ForwardingWire.ts";
import type {
  RelayCall,
  RelayedAnswer,
  RelayRefusal,
  RelayTarget,
} from "../../protocol/forwarding/RelayClient.ts";
import { RelayClient } from "../../protocol/forwarding/RelayClient.ts";
import { createGuardedPool } from "../connectionGuard.ts";
import { parseJson } from "../httpFailures.ts";
import { framingOf } from "./answerFraming.ts";
import type { RawAnswer } from "./answerReader.ts";
import { createAnswerReader } from "./answerReader.ts";
import { encodeRelayRequest, takeRelayAnswer } from "./relayHeaders.ts";

/** Timeout of a connection to another router, milliseconds; the next router is tried after it. */
const connectTimeout = 200;

/** How long a connection may be idle, milliseconds; less than the other router allows. */
const idleTimeout = 4_000;

/** Connections to one router: each carries one request at a time. */
const maxConnections = 128;

const refusalSchema = z.object({
  error: z.object({
    status: z.int(),
    code: z.string(),
    outcome: z.enum(outcomes),
    message: z.string(),
    retryAfterSeconds: z.number().optional(),
    parameter: z.string().optional(),
  }),
});

class HttpRelayClient extends RelayClient {
  private readonly pools = new Map<string, Pool>();
  private readonly wire: ForwardingWire;
  private readonly source: string;

  constructor(wire: ForwardingWire, source: string) {
    super();
    this.wire = wire;
    this.source = source;
  }

  override async send(call: RelayCall, signal: AbortSignal): Promise<RelayedAnswer | RelayRefusal> {
    const { request, target } = call;
    const reader = createAnswerReader(call.maySend, signal);
    const relayHeaders = encodeRelayRequest({
      router: target.incarnation,
      source: this.source,
      sentTo: call.sentTo,
    });
    this.poolOf(target).dispatch(
      {
        method: request.method,
        path: request.target,
        headers: [...relayHeaders, ...this.wire.encodeRequest(request, call.deadline, call.lastEventId)],
        body: request.body.length === 0 ? null : request.body,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      reader.handler,
    );
    const answer = await reader.answer;
    const { relay, rest } = takeRelayAnswer(answer.headers);
    if (relay?.router !== target.incarnation)
      throw upstreamError("another process answered in place of the router", "malformed", "sent");
    if (relay.sentTo === undefined) return this.readRefusal(answer);
    return {
      kind: "answer",
      head: this.wire.decodeAnswer(answer.status, rest),
      framing: framingOf(request.method, answer),
      body: answer.body,
      sentTo: relay.sentTo,
    };
  }

  override async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
    this.pools.clear();
  }

  private async readRefusal({ body }: RawAnswer): Promise<RelayRefusal> {
    const text = (await collectBody(body)).toString();
    const refusal = refusalSchema.safeParse(parseJson(text));
    if (!refusal.success) throw upstreamError("the router's refusal can't be read", "malformed", "sent");
    const { message, retryAfterSeconds, parameter, ...failure } = refusal.data.error;
    const complete: RequestFailure = {
      ...failure,
      ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
      ...(parameter === undefined ? {} : { parameter }),
    };
    return { kind: "refusal", failure: complete, message };
  }

  private poolOf({ at }: RelayTarget): Pool {
    const address = `${at.address}:${at.port}`;
    const existing = this.pools.get(address);
    if (existing !== undefined) return existing;
    const created = createGuardedPool(`http://${address}`, {
      connections: maxConnections,
      pipelining: 1,
      keepAliveTimeout: idleTimeout,
      keepAliveMaxTimeout: idleTimeout,
      connectTimeout,
    });
    this.pools.set(address, created);
    return created;
  }
}

/**
 * Creates a client.
 *
 * @param source - The name of this router.
 */
export const createHttpRelayClient = (wire: ForwardingWire, source: string): RelayClient =>
  new HttpRelayClient(wire, source);
