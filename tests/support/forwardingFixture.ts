/** Configuration, routes, records and replicas that tests of forwarding share. */
import type { ForwardingBounds } from "../../src/coordination/forwarding/types.ts";
import type {
  ForwardingConfiguration,
  ForwardingRoute,
  ForwardingService,
  OperatorRecord,
  ReplicaEntry,
} from "../../src/protocol/forwarding/types.ts";
import type { DrainingReport } from "../../src/state/forwarding/replicaState.ts";
import { positionAt } from "./positions.ts";
import { toNetworkAddress } from "../../src/protocol/networkAddress.ts";

export const bounds: ForwardingBounds = {
  keyRevocation: 5_000,
  drain: 2_000,
  lease: 3_000,
  weights: 10_000,
  shutdownGrace: 8_000,
  retryRatio: 0.2,
  retryWindow: 10_000,
  retryReserve: 52,
  limitWindow: 8_000,
  limitOvershoot: 0.1,
  limitReserve: 0,
};

export const engineService: ForwardingService = {
  name: "engines",
  maximumConnections: 96,
  engine: { slots: 64, memoryTokens: 200_000, bytesPerToken: 18_432, linkMegabits: 370_000, models: ["m"] },
  cacheStore: undefined,
};

export const streamRoute: ForwardingRoute = {
  name: "ask",
  host: "model.example",
  pathPrefix: "/ask/",
  kind: "eventStream",
  timeout: 15_000,
  latencyObjective: 1_000,
  priority: 1,
  targets: [{ service: "engines", weight: 1 }],
  maximumAttempts: 1,
  isAnonymous: true,
};

export const configurationOf = (version: number): ForwardingConfiguration => ({
  version,
  routes: [streamRoute],
  services: [engineService],
  organisations: undefined,
  limits: { headerBytes: 16_384, bodyBytes: 100_000, headerTimeout: 3_000, idleTimeout: 15_000 },
});

/** An answer that reports draining. */
export const drainingAnswer: DrainingReport = { source: "answer", detail: "request" };

/** @returns A page of a feed with one record. */
export const pageOf = (value: OperatorRecord, offset = 0) => ({
  records: [{ position: positionAt(offset), key: value.kind, value }],
  next: positionAt(offset + 1),
  isComplete: true,
});

export const engineEntry = (id: string, fields: Partial<ReplicaEntry> = {}): ReplicaEntry => ({
  id,
  registeredAs: id,
  bornAt: undefined,
  service: "engines",
  address: toNetworkAddress(`10.0.0.${id.length}:${8_000 + id.charCodeAt(id.length - 1)}`),
  dataCentre: "here",
  isDraining: false,
  slots: 64,
  weights: new Map([["m", 1]]),
  ...fields,
});
