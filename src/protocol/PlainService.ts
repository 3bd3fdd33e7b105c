import type { ServiceAnswer, ServiceCall } from "./types.ts";

/** Client of one replica of a plain service: an upstream that runs no model. */
export abstract class PlainService {
  /** Sends one call; the implementation never retries it. Throws `UpstreamError`. */
  abstract call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>;
}
