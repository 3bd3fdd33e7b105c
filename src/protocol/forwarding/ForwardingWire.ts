import type { AnswerHead, CallerRequest, ReplicaCall } from "./types.ts";

/** A caller's request as it arrived: raw headers are names and values in turn. */
export interface RawRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Milliseconds on the monotonic clock. */
  readonly arrivedAt: number;
}

/** The headers in which callers, the system and replicas tell one another about a request. */
export abstract class ForwardingWire {
  /** @returns What the request says; throws `RequestError` where it can't be understood. */
  abstract decodeRequest(raw: RawRequest): CallerRequest;

  /** @returns Names and values in turn: all headers of the request to the replica but those of the connection. */
  abstract encodeCall(call: ReplicaCall): string[];

  /** @param headers - Names, in lower case, and values. */
  abstract decodeAnswer(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerHead;

  /** True for the path at which the balancer asks whether this router takes requests. */
  abstract isReadyPath(path: string): boolean;
}
