import type {
  ForwardingOrganisation,
  ForwardingRoute,
  ForwardingService,
} from "../../protocol/forwarding/types.ts";
import type { RouteTable } from "../../state/forwarding/routeTable.ts";

/** The time limits that a deployment's operator sets for the system. Durations are milliseconds. */
export interface ForwardingBounds {
  /** A request whose key was taken away must not run later than this after the change. */
  readonly keyRevocation: number;
  /** A leaving replica must not get new work later than this after it said so. */
  readonly drain: number;
  /** A lease's duration as the replicas' rules know it: two holders keep this far apart. */
  readonly lease: number;
  /** Requests must not begin on older weights later than this after newer ones were named. */
  readonly weights: number;
  /** From the signal to end until the process is killed. */
  readonly shutdownGrace: number;
  /** Retries that a service may get, as a share of its requests. */
  readonly retryRatio: number;
  /** Over which retries are counted. */
  readonly retryWindow: number;
  /** Retries that all routers together may make in a window besides. */
  readonly retryReserve: number;
  /** Over which organisations' use is counted. */
  readonly limitWindow: number;
  /** What all routers together may pass on beyond an organisation's limit, as a share of it. */
  readonly limitOvershoot: number;
  /** The same besides, in the limit's unit. */
  readonly limitReserve: number;
}

/** A request with what the configuration says of it. */
export interface Admission {
  readonly table: RouteTable;
  readonly route: ForwardingRoute;
  readonly service: ForwardingService;
  readonly organisation: ForwardingOrganisation | undefined;
}
