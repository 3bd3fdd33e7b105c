import type { ServiceAnswer, ServiceCall } from "./types.ts";

/** A plain service's replica, as the system meets it. */
export abstract class PlainService {
  /** Makes one call, never repeated by the implementation. Throws `UpstreamError`. */
  abstract call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>;
}
