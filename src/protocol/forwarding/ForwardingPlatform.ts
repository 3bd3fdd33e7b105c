import type { LogService } from "../LogService.ts";
import type { EpochSource } from "../storeEpoch.ts";
import type { ForwardingWire } from "./ForwardingWire.ts";
import type { RecordFeed } from "./RecordFeed.ts";
import type { ReplicaClient } from "./ReplicaClient.ts";
import type { OperatorRecord, QuarantineRecord, ReplicaEntry, RouterEntry } from "./types.ts";

/** Where the platform's store is. */
export interface PlatformAddress {
  readonly store: { readonly address: string; readonly port: number };
  /** Longest wait for an answer of the store, milliseconds. */
  readonly storeTimeout: number;
}

/** What a router needs of the platform that it runs on; an adapter provides it. */
export interface ForwardingPlatform extends AsyncDisposable {
  readonly wire: ForwardingWire;
  readonly epochs: EpochSource;
  /** For leases. */
  readonly log: LogService;
  readonly operator: RecordFeed<OperatorRecord>;
  /** Copies of what the operator published, written by routers where the store has lost it. */
  readonly operatorCopies: RecordFeed<OperatorRecord>;
  /** The key of a record is the replica's id. */
  readonly replicas: RecordFeed<ReplicaEntry>;
  /** The key of a record is the router's name. */
  readonly routers: RecordFeed<RouterEntry>;
  /** Requests that crash replicas; the key of a record is the request's fingerprint. */
  readonly quarantine: RecordFeed<QuarantineRecord>;
  readonly replicaClient: ReplicaClient;
}

/** Connects to a platform. */
export type ConnectPlatform = (address: PlatformAddress) => ForwardingPlatform;
