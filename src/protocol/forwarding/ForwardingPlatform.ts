import type { LogService } from "../LogService.ts";
import type { EpochSource } from "../storeEpoch.ts";
import type { ForwardingWire } from "./ForwardingWire.ts";
import type { RecordFeed } from "./RecordFeed.ts";
import type { ReplicaClient } from "./ReplicaClient.ts";
import type { OperatorRecord, QuarantineRecord, ReplicaEntry, RegisteredRouter } from "./types.ts";

/** How to reach the platform's store. */
export interface PlatformAddress {
  readonly store: { readonly address: string; readonly port: number };
  /** Timeout of a call to the store, milliseconds. */
  readonly storeTimeout: number;
  /** Timeout of a call that reads the registry of replicas, milliseconds. */
  readonly registryTimeout: number;
  /** Called for each record that was read and can't be used. */
  readonly onRecordRefused: (topic: string) => void;
}

/** What an operator promises its callers for a deployment, as settings of a router request it. */
export type Guarantee = "fairShares";

/** The services of the underlying platform that a router uses, provided by a platform adapter. */
export interface ForwardingPlatform extends AsyncDisposable {
  readonly wire: ForwardingWire;
  readonly epochs: EpochSource;
  /** The log that holds leases. */
  readonly log: LogService;
  readonly operator: RecordFeed<OperatorRecord>;
  /** Copies of the operator's records, which routers write when the store has lost the originals. */
  readonly operatorCopies: RecordFeed<OperatorRecord>;
  /** Registered replicas, by replica id. */
  readonly replicas: RecordFeed<ReplicaEntry>;
  /** Registered routers, by router name. */
  readonly routers: RecordFeed<RegisteredRouter>;
  /** Requests that crash replicas, by request fingerprint. */
  readonly quarantine: RecordFeed<QuarantineRecord>;
  readonly replicaClient: ReplicaClient;
  /** @returns The guarantee that the platform knows under a name; `undefined` if this system need not know it. */
  readonly guaranteeOf: (name: string) => Guarantee | undefined;
}

export type ConnectPlatform = (address: PlatformAddress) => ForwardingPlatform;
