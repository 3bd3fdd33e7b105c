/** Timing and limits of the membership. Times are in milliseconds. */
import type { PeerTimeouts } from "../../state/peerDirectory.ts";

/** Intervals of the messages to peers. */
export const heartbeats = {
  /**
   * The interval grows by this for each live peer, so that a router sends 20 messages a second at most, until it
   * reaches `maximumInterval`.
   */
  intervalPerPeer: 50,
  minimumInterval: 250,
  maximumInterval: 2_000,
  /** Interval of the messages to other data centres. */
  crossDataCentreInterval: 2_000,
  /** A heartbeat timer that fires this late shows that this process was paused. */
  processPauseThreshold: 3_000,
} as const;

/** When a peer that sends no heartbeats becomes suspect, dead and forgotten. */
export const peerTimeouts: PeerTimeouts = {
  missedIntervals: 2.5,
  suspectIntervals: 1.5,
  slack: 250,
  retention: 600_000,
};

/** Opening of streams to peers. */
export const connecting = {
  timeout: 1_000,
  retryInterval: 500,
  /** Limit of the exponential backoff after repeated failures. */
  maxRetryInterval: 5_000,
} as const;

/** Number of other peers that are asked whether they receive heartbeats from a suspect. */
export const indirectProbeCount = 3;

/** Distribution of the configuration between routers. */
export const configurationSpread = {
  /** Number of routers of a data centre that follow the log. */
  readers: 2,
  /** The other routers read the log themselves if no peer of the data centre has read it for this long. */
  learnerTimeout: 3_000,
  /** Interval of such reads. */
  learnerReadInterval: 1_500,
  /** How often a router checks whether it has to read the log. */
  readModeCheckInterval: 250,
  /** Delay before another reader sends a version that a peer lacks, and before a router asks a peer that is ahead. */
  retryDelay: 1_500,
  /**
   * A router that has neither read the log nor changed its version for this long also asks peers that know the
   * log to a later offset, though their version is the same.
   */
  logPositionTimeout: 30_000,
} as const;

/** Limit of engine reports in one message; changed reports go first. */
export const maxReportsPerMessage = 64;

/** Limit of engines with spare capacity that a summary lists for a pool. */
export const maxSpareEngines = 4;

/** A data centre that has sent nothing for this long is unreachable: its engines are asked directly. */
export const summaryTimeout = 10_000;
