/** What may be forwarded beyond an organisation's limit. */
import type { OrganisationLimit } from "../../protocol/forwarding/types.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";

const millisecondsPerSecond = 1_000;

/** @returns What all routers together may forward in a window beyond a limit, in the limit's unit. */
export const overshootOf = (
  { ratePerSecond, burst }: OrganisationLimit,
  { limitWindow, limitOvershoot, limitReserve }: ForwardingBounds,
): number => {
  const allowed = (ratePerSecond * limitWindow) / millisecondsPerSecond + burst;
  return allowed * limitOvershoot + limitReserve;
};
