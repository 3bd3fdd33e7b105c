/** What may be passed on beyond an organisation's limit. */
import type { OrganisationLimit } from "../../protocol/forwarding/types.ts";
import type { ForwardingBounds } from "../forwarding/types.ts";

const millisecondsPerSecond = 1_000;

/** @returns What all routers together may pass on in a window beyond a limit, in its unit. */
export const overshootOf = (
  { ratePerSecond, burst }: OrganisationLimit,
  { limitWindow, limitOvershoot, limitReserve }: ForwardingBounds,
): number => {
  const allowed = (ratePerSecond * limitWindow) / millisecondsPerSecond + burst;
  return allowed * limitOvershoot + limitReserve;
};
