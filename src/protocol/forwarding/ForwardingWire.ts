import type { AnswerHead, CallerRequest, ReplicaCall } from "./types.ts";

/** A caller's request as it arrived, not decoded. */
export interface RawRequest {
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Time of arrival, milliseconds on the monotonic clock. */
  readonly arrivedAt: number;
}

/** Translates between the platform's HTTP headers and the types of this system. */
export abstract class ForwardingWire {
  /** Decodes a caller's request. Throws `RequestError` if it is malformed. */
  abstract decodeRequest(raw: RawRequest): CallerRequest;

  /**
   * Encodes the headers of a caller's request as the caller sent them, without those of the connection.
   *
   * @param deadline - When the caller must have its answer, milliseconds on the monotonic clock.
   * @param lastEventId - The event after which a stream continues.
   * @returns Alternating names and values.
   */
  abstract encodeRequest(request: CallerRequest, deadline: number, lastEventId: string | undefined): string[];

  /**
   * Encodes the headers of a request to a replica, without the connection headers.
   *
   * @returns Alternating names and values.
   */
  abstract encodeCall(call: ReplicaCall): string[];

  /**
   * Decodes the head of a replica's response.
   *
   * @param headers - Values by name in lower case.
   */
  abstract decodeAnswer(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerHead;

  /** Whether a path is that of the load balancer's readiness check. */
  abstract isReadyPath(path: string): boolean;
}
