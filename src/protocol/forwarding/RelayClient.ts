/** Requests that one router passes on to another, which has paths to replicas that the first one has not. */
import type { DatagramAddress } from "./DatagramLink.ts";
import type { AnswerHead, AnswerFraming, CallerRequest } from "./types.ts";
import type { RequestFailure } from "../errors.ts";

/** The router that a request is passed on to. */
export interface RelayTarget {
  readonly name: string;
  /** Only this process of the router accepts the request. */
  readonly incarnation: string;
  readonly at: DatagramAddress;
}

/** Codes of refusals that only requests of other routers get. */
export const relayCodes = { busy: "relay_busy", notAccepted: "relay_not_accepted" } as const;

/** A request that is passed on. */
export interface RelayCall {
  readonly request: CallerRequest;
  readonly target: RelayTarget;
  /** When the caller must have its answer, milliseconds on the monotonic clock. */
  readonly deadline: number;
  /** Ids of the replicas that the request was sent to already. */
  readonly sentTo: readonly string[];
  /** The event after which the stream continues; `undefined` for a stream from its start. */
  readonly lastEventId: string | undefined;
  /** Checked right before the first byte is written. */
  readonly maySend: () => boolean;
}

/** A replica's answer that another router passes on. */
export interface RelayedAnswer {
  readonly kind: "answer";
  readonly head: AnswerHead;
  readonly framing: AnswerFraming;
  /** Throws `UpstreamError` if the answer breaks off. */
  readonly body: AsyncIterable<Buffer>;
  /** Ids of the replicas that the other router had sent the request to when the answer began. */
  readonly sentTo: readonly string[];
}

/** The other router's own failure in place of an answer. */
export interface RelayRefusal {
  readonly kind: "refusal";
  readonly failure: RequestFailure;
  readonly message: string;
}

/** Passes requests on to other routers. Methods throw `UpstreamError`. */
export abstract class RelayClient implements AsyncDisposable {
  /**
   * Passes a request on once, without retries.
   *
   * @param signal - Cancels the request, also at the other router.
   */
  abstract send(call: RelayCall, signal: AbortSignal): Promise<RelayedAnswer | RelayRefusal>;

  abstract [Symbol.asyncDispose](): Promise<void>;
}
