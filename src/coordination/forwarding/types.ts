import type {
  ForwardingOrganisation,
  ForwardingRoute,
  ForwardingService,
} from "../../protocol/forwarding/types.ts";
import type { RouteTable } from "../../state/forwarding/routeTable.ts";

/** The limits that a deployment's operator sets for the system. Durations are milliseconds. */
export interface ForwardingBounds {
  /** A request whose key was revoked must not run later than this after the revocation. */
  readonly keyRevocation: number;
  /** A leaving replica must not get new work later than this after it has announced its departure. */
  readonly drain: number;
  /** A lease's duration. The orders of two consecutive holders must be this far apart. */
  readonly lease: number;
  /** Requests must not start on older weights later than this after newer ones were published. */
  readonly weights: number;
  /** Time from the termination signal until the process is killed. */
  readonly shutdownGrace: number;
  /** Retry budget of a service, as a share of its requests. */
  readonly retryRatio: number;
  /** Window over which retries are counted. */
  readonly retryWindow: number;
  /** Retries that all routers together may make in a window in addition to that share. */
  readonly retryReserve: number;
  /** Window over which organisations' usage is counted. */
  readonly limitWindow: number;
  /** What all routers together may forward beyond an organisation's limit, as a share of it. */
  readonly limitOvershoot: number;
  /** What they may forward in addition to that share, in the limit's unit. */
  readonly limitReserve: number;
}

/** What the configuration assigns to an admitted request. */
export interface Admission {
  readonly table: RouteTable;
  readonly route: ForwardingRoute;
  readonly service: ForwardingService;
  readonly organisation: ForwardingOrganisation | undefined;
}
