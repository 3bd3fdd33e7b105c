/** HTTP client of a plain service's replica. */
import type { Dispatcher } from "undici";
import { headers, outcomes } from "../protocol/constants.ts";
import { upstreamError, UpstreamError } from "../protocol/errors.ts";
import { collectBody } from "../protocol/forwarding/collectBody.ts";
import { PlainService } from "../protocol/PlainService.ts";
import type { ServiceAnswer, ServiceCall } from "../protocol/types.ts";
import { connectionFailure, statusFailure } from "./httpFailures.ts";

const callHeaders = (call: ServiceCall): Record<string, string> => ({
  [headers.attempt]: call.attempt,
  [headers.organisation]: call.organisation,
  ...(call.contentType === undefined ? {} : { "content-type": call.contentType }),
  ...(call.idempotencyKey === undefined ? {} : { [headers.idempotencyKey]: call.idempotencyKey }),
});

const firstValue = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

/** Client of the replica at one URL. */
export class HttpPlainService extends PlainService {
  private readonly url: string;
  private readonly pool: Dispatcher;

  /**
   * @param url - `http://IP:PORT`.
   * @param pool - An undici `Agent` without any retrying or redirecting interceptor.
   */
  constructor(url: string, pool: Dispatcher) {
    super();
    this.url = url;
    this.pool = pool;
  }

  override async call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
    const answer = await this.send(call, signal);
    const { body } = answer;
    const isRefused = firstValue(answer.headers[headers.outcome]) === outcomes.notRun;
    if (answer.status === 503 || isRefused)
      throw statusFailure(answer.status, answer.headers, body.toString("utf8"));
    const attempt = firstValue(answer.headers[headers.attempt]);
    if (attempt !== call.attempt) {
      throw upstreamError("the answer belongs to another attempt", "crossed", "sent");
    }
    return { attempt, status: answer.status, contentType: firstValue(answer.headers["content-type"]), body };
  }

  private async send(call: ServiceCall, signal: AbortSignal) {
    try {
      const answer = await this.pool.request({
        origin: this.url,
        method: call.method,
        path: call.path,
        headers: callHeaders(call),
        body: call.body ?? null,
        headersTimeout: call.timeout,
        bodyTimeout: call.timeout,
        signal,
      });
      const body = await collectBody(answer.body as AsyncIterable<Buffer>);
      return { status: answer.statusCode, headers: answer.headers, body };
    } catch (cause) {
      if (cause instanceof UpstreamError) throw cause;
      if (signal.aborted) throw upstreamError("the call was cancelled", "cancelled", "sent", cause);
      throw connectionFailure(cause, "sent");
    }
  }
}
