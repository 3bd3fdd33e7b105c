import type { ForwardingRoute } from "../../protocol/forwarding/types.ts";

/** Whether the requests of a route may run more than once. */
export const isRepeatable = ({ kind }: Pick<ForwardingRoute, "kind">): boolean =>
  kind === "repeatable" || kind === "resumableEventStream";
