/** Limits and weights of forwarding. Durations are milliseconds. */

/** After a failed read of the platform's store; doubles up to the longest. */
export const feedRetryDelays = { first: 50, longest: 400 } as const;

/**
 * Share of the time in which a key may still be served after it was taken away, that a read of the configuration
 * may be held back. Two reads in a row and the failure of a third fit into three fifths of that time, so that a
 * router whose store is lost serves on for the rest.
 */
export const configurationLongPollShare = 0.18;

/**
 * After so many times the longest wait of a held read without an answer a router takes no duties that need the store:
 * two reads in a row fit into it.
 */
export const maxReadAgeFactor = 2.5;

/** Kept back of the time in which a key may be served, for the way from here to the replica. */
export const revocationMargin = 150;

/**
 * Share of the time in which a leaving replica may still get work, between two reads of the registry. The rest
 * is for the read itself on a slow store and for requests on their way.
 */
export const registryReadIntervalShare = 0.45;

/**
 * A router whose last message is older counts as gone for sharing work and duties: three of the longest intervals,
 * and with many peers as many times more as intervals are longer.
 */
export const peerTimeout = 1_500;

/** A silent router keeps its part of shared limits for so long: it may be cut off and still serve. */
export const peerServingTimeout = 30_000;

/** Between two messages to a peer: at most one in the shorter time, at least one in the longer. */
export const peerMessageIntervals = { shortest: 100, longest: 500 } as const;

/**
 * Peers up to which messages go to all of them at the shortest interval. With more, those in other data centres are
 * told less often than those in the same one, and intervals grow in proportion, so that a router sends no more
 * messages a second however many routers there are.
 */
export const maxPeersAtShortestInterval = 8;

/**
 * Messages that a router sends in the shortest interval where there are more peers. Each costs sender and receiver
 * a turn of the event loop, about 0.3 ms of processor time with all that hangs on it where turns are rare.
 */
export const messagesPerInterval = 5;

/** Share of the messages that goes to peers in the same data centre: they send work to the same replicas. */
export const nearMessageShare = 0.6;

/** Routers of a data centre for each one that does a duty for them, where they are fewer than those that suffice. */
export const routersPerDutyHolder = 5;

/** News that comes within so short a time shares a message. */
export const updateDelay = 10;

/** The same where there are many routers: in a roll-out of 55 engines each message goes to 194 peers. */
export const largeFleetUpdateDelay = 40;

/** News of weights and of changes to them is repeated for so long, since messages get lost. */
export const updateRepetitionTime = 1_500;

/** Until answers have shown otherwise: prompt tokens that an engine computes in a millisecond. */
export const assumedPrefillRate = 40;

/** Part of a new observation in running averages. */
export const smoothingFactor = 0.1;

/** Prompts with fewer tokens to compute tell too little of an engine's rate. */
export const fewestRateTokens = 1_500;

/** Until answers have shown otherwise: the time that a plain service takes for a request. */
export const assumedServiceTime = 30;

/** What a request that an engine runs already adds to the time of the next one's first token. */
export const batchDelay = 1;

/** What being in another data centre counts for: both ways of the network, and the price of its bytes. */
export const remotePenalty = 4;

/** Part of an engine's memory that is counted on for cached parts: requests under way take the rest. */
export const cachedMemoryShare = 0.6;

/** Time to set up a copy of cached parts from another engine. */
export const copySetup = 6;

/**
 * How much longer a wait is worth taking at the replica where a prompt's parts are expected to be, so that each
 * part lies at few replicas and memory holds more of them.
 */
export const homePreference = 25;

/**
 * How much likelier it is that a further copy of a part makes an engine drop one that is used again, than that a
 * part was lost of late: the copies that are there already are what made those losses.
 */
export const evictionRisk = 4;

/** Requests that began on older weights lose part of their worth after this time. */
export const weightsTolerance = 1_200;

/** Share of the latency objective that old weights count for in placement, after {@link weightsTolerance}. */
export const oldWeightsPenaltyShare = 0.3;

/** No request begins on older weights after this share of the bound, its predicted wait included. */
export const oldWeightsCutoffShare = 0.85;

/** A belief about a cached part that was not used for so long counts for nothing. */
export const holderMemory = 60_000;

/**
 * Between two questions to a store of prompt parts: a restart that loses everything is noticed within it, and a
 * part that was saved is found from then on. Grows with the number of routers, so that the store is asked no more
 * often however many there are.
 */
export const cacheStoreInterval = 1_000;

/** Routers up to which each asks the store of prompt parts at the shortest interval. */
export const cacheStorePollersAtShortestInterval = 12;

/** Longest wait for its answer: it is down or cut off then, and no copies are taken from it. */
export const cacheStoreTimeout = 400;

/** Part of a new observation in the share of parts that were lost before they were used again. */
export const lossGain = 0.05;

/**
 * From this share on all shared parts are saved at first sight: memory turns over faster than parts come back.
 * Below it only those are saved that were lost already.
 */
export const lossWorthSaving = 0.1;

/** Share of the link of a store of prompt parts that all routers' saves take; copies out of it wait behind them. */
export const saveLinkShare = 0.5;

/**
 * Link time that all routers together may save up, milliseconds: a few prompts at once. With 400 ms for each of nine
 * routers copies came late once losses began: a simulated loss of three of eight engines answered 85 % in time instead
 * of 95 %.
 */
export const saveBurst = 300;

/** Shared parts are worth saving if an engine takes so long to compute them, milliseconds. */
export const computingWorthSaving = 20;

/**
 * They are saved with a prompt of which they are at least this share: a store takes in whole prompts, and those
 * with long ends of their own would drop more shared parts there than they bring.
 */
export const shareWorthSaving = 0.5;

/** A part that is still not computed after so long is not going to be: its request failed. */
export const computingMemory = 5_000;

/** Share of the latency objective that a request waits at most for a part that an engine is computing. */
export const partWaitShare = 0.3;

/** A part is waited for if computing it once more would take an engine so long, milliseconds. */
export const partWorthWaiting = 20;

/** Prompt parts whose holders are remembered. */
export const mostParts = 20_000;

/** Failures in a row after which a replica gets no work for a while. */
export const failuresBeforeEjection = 3;

/** How long a replica that failed gets no work; doubles with each further failure up to the longest. */
export const ejectionTimes = { first: 500, longest: 4_000 } as const;

/** Share of a service's replicas that may be without work because of failures. */
export const maxEjectedShare = 0.5;

/** What a replica whose requests all fail counts for in placement, as a share of the latency objective. */
export const failurePenaltyShare = 2;

/** Share of the time left after which a silent first attempt of a request that may run again is given up. */
export const attemptTimeoutShare = 0.45;

/** Loads of weights at once that every source of weights bears; more are tried where the bound asks for them. */
export const fewestLoads = 2;

/**
 * Shares of the bound on old weights in which all engines are to be brought over. At the longest, a roll-out that
 * fails half-way has the time of a second one; at the shortest little is left to gain, since requests begun on
 * older weights lose worth from a tenth or so of the bound on.
 */
export const rollOutShares = { longest: 0.5, shortest: 0.25 } as const;

/** Until a load was seen: how long one takes, with the questions that find its end. */
export const assumedLoadTime = 1_100;

/** A load that takes so many times the fastest one was slowed down by others. */
export const loadSlowdown = 1.35;

/** Engines that are emptied while others load, as a share of the loads at once: emptying takes a fourth of a load. */
export const drainingShare = 0.3;

/** Between two looks of the holder of orders at what there is to do, and of others at whether they hold them. */
export const rollOutIntervals = { busy: 50, idle: 100, withoutLease: 400 } as const;

/** Between two looks at whether a replica is empty. */
export const drainPollInterval = 50;

/** Share of a service's engines that go on serving while weights change. */
export const leastServingShare = 0.5;

/** Before an engine whose change failed is tried again. */
export const changeRetryPause = 300;

/** How long a replica gets no new work before its weights are changed, so that what runs there can end. */
export const drainBeforeLoad = 250;

/** A replica that is being emptied or loads gets no work for so long unless news of it comes. */
export const changingTime = drainBeforeLoad + 2_500;

/** A replica that was told to change its weights is asked for its state this often. */
export const loadPollInterval = 100;

/** The first question after an order; loads take longer. */
export const firstLoadPoll = 300;

/** A load that takes longer is looked at anew. */
export const longestLoad = 6_000;

/** Longest wait for an answer to an order or a question about an engine's state. */
export const orderTimeout = 1_000;

/** The time to come back that a refused caller is told, seconds. */
export const refusalRetryAfter = { soon: 0.25, later: 1 } as const;

/** Share of what a caller has left that it is told to wait at most: callers wait no longer. */
export const maxRetryAfterShare = 0.3;

/**
 * A prompt is turned away if its answer is predicted to begin after so many latency objectives. Predictions are short
 * of the truth where engines are full, since answers under way slow prompts down. In a simulated burst of twice the
 * usual requests with three of eight engines lost 4.8 % failed instead of 12.8 % with no limit, and the 99th
 * percentile of the first token was 2.5 s instead of 5.0 s (3 seeds).
 */
export const latenessTurnedAway = 0.7;

/** It is let in all the same where it waits no longer than this share of the objective before it is begun. */
export const bearableQueueShare = 0.25;

/** Share of what a caller has left within which an answer must begin to be of use to it. */
export const usableShare = 0.8;

/** The shortest time to come back after being turned away: a queue of that length is no reason to turn away. */
export const shortestComeBack = 100;

/** Width of the random spread of times to come back, as a share of them. */
export const comeBackSpread = 0.6;

/** Longest wait for the platform's store, as a share of the time in which a key may be served after its end. */
export const storeTimeoutShare = 0.15;

/**
 * A shutdown, as shares of the grace time: until when every request is taken on, when the balancer has surely
 * noticed, and when everything has to be over. A request that is taken on later than the first and cut at the last
 * is lost by this router's fault.
 */
export const shutdownPhases = { acceptShare: 0.33, noticeShare: 0.4, endShare: 0.95 } as const;

/** Between two looks at what is still under way in a shutdown. */
export const shutdownPollInterval = 25;

/** Connections that can't be made are no attempts at a replica, but a request ends after so many. */
export const maxUnsentAttempts = 4;

/** Longest wait for the state of an engine that refused a request because of its weights. */
export const weightsCheckTimeout = 300;

/** News of where prompt parts are kept, in one message at most. */
export const maxHolderUpdatesPerMessage = 40;

/**
 * A replica that owes an answer and has sent nothing for so long is tried with a new connection: several times what
 * engines leave between tokens, well below what callers wait for a first one.
 */
export const idleTimeBeforeProbe = 350;

/** Longest wait for such a connection: many times the way there and back within a region. */
export const connectionProbeTimeout = 200;

/** Between two tries of a replica that could not be reached. */
export const unreachableProbeInterval = 400;

/** Between two looks for silent replicas. */
export const replicaMonitorInterval = 100;

/** A prompt that takes an engine more than this share of its latency objective is long. */
export const longPromptShare = 0.1;

/** Long prompts share replicas up to a wait of this share of their latency objective. */
export const packingTarget = 0.5;

/** How much a replica that is short of the target counts against it. */
export const packingGain = 0.3;

/** Less urgent prompts at a replica count for no more than this share of a prompt's latency objective. */
export const othersShare = 0.5;
