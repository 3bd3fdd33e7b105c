/** Times of the membership, milliseconds unless named otherwise. */
import type { PeerTimeouts } from "../../state/peerDirectory.ts";

/** How often a router speaks to its peers. */
export const heartbeats = {
  /** For each live peer, so that a router sends at most 20 messages a second whatever their number. */
  intervalPerPeer: 50,
  minimumInterval: 250,
  maximumInterval: 2_000,
  /** Between data centres. */
  representedInterval: 2_000,
  /** A tick that comes this late means that this process itself stood still. */
  stalledAfter: 3_000,
} as const;

/** How long a silent peer is waited for. */
export const peerTimeouts: PeerTimeouts = {
  missedIntervals: 2.5,
  suspectIntervals: 1.5,
  slack: 250,
  retention: 600_000,
};

/** How streams to peers are opened. */
export const joining = {
  timeout: 1_000,
  retryInterval: 500,
  /** Longer, for one that has not answered for long. */
  longestRetryInterval: 5_000,
} as const;

/** Peers that are asked whether they hear a suspect. */
export const askedAboutSuspect = 3;

/** How the configuration spreads. */
export const spreading = {
  /** Routers of a data centre that read the log. */
  readers: 2,
  /** The others read it themselves if no peer has read it for this long. */
  learnerPatience: 3_000,
  /** Between such reads. */
  learnerReadInterval: 1_500,
  /** Between looks at whose turn it is. */
  turnInterval: 250,
  /** A peer that still lacks what this router has after this long is told again, or asked. */
  repeatAfter: 1_500,
  /** How far a learner may lag behind in what the log's end is, though the version is the same. */
  standingPatience: 30_000,
} as const;

/** Reports in one message; those that changed go first. */
export const maximumReports = 64;

/** Engines of a pool that a summary names. */
export const spareEngines = 4;

/** A data centre that has sent no summary for this long is silent: its engines are asked directly. */
export const summaryPatience = 10_000;
