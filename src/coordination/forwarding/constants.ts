/** Limits and weights of request forwarding. Durations are milliseconds unless stated otherwise. */

/** Delay before a failed read of the platform's store is retried; doubles up to the longest. */
export const feedRetryDelays = { first: 50, longest: 400 } as const;

/**
 * Longest long poll of the configuration, as a share of the time for which a revoked key may still be served. Two
 * consecutive reads and the failure of a third fit into three fifths of that time, so a router that loses the store
 * keeps serving for the rest of it.
 */
export const configurationLongPollShare = 0.18;

/**
 * A router takes on no duties that need the store once its last read is older than this many times the longest long
 * poll. Two consecutive reads fit into it.
 */
export const maxReadAgeFactor = 2.5;

/** Subtracted from the time for which a revoked key may be served, to cover the way from this router to the replica. */
export const revocationMargin = 150;

/**
 * Interval between two reads of the registry, as a share of the time for which a leaving replica may still get work.
 * The rest covers the read itself on a slow store and the requests already on their way.
 */
export const registryReadIntervalShare = 0.45;

/**
 * A router whose last message is older gets no shared work or duties. Covers three of the longest message intervals;
 * grows with the intervals where there are many peers.
 */
export const peerTimeout = 1_500;

/** An unreachable router keeps its part of shared limits for this long: it may be partitioned and still serve. */
export const peerServingTimeout = 30_000;

/**
 * A router that was silent for longer is lost: it no longer counts as serving, but gets messages now and then, since it
 * may only have been cut off. Without them, routers that have lost each other would never meet again.
 */
export const lostPeerMemory = 24 * 3_600_000;

/** Interval between messages to lost routers. */
export const lostPeerInterval = 5_000;

/** Lost routers that get a message at a time: most of those that are lost on an ordinary day are gone for good. */
export const maxLostPeersPerInterval = 10;

/** A router whose own timer is later than this did not run meanwhile: its VM was suspended, or its clock was set. */
export const minOwnPause = 1_000;

/** Interval between two messages to a peer: no shorter than `shortest`, no longer than `longest`. */
export const peerMessageIntervals = { shortest: 100, longest: 500 } as const;

/**
 * Up to this number of peers, messages go to all of them at the shortest interval. Beyond it, peers in other data
 * centres get messages less often than local ones, and all intervals grow in proportion to the number of peers, so
 * that the messages a router sends per second stay constant.
 */
export const maxPeersAtShortestInterval = 8;

/**
 * Messages that a router sends per shortest interval when there are more peers. Each one costs sender and receiver an
 * iteration of the event loop, about 0.3 ms of processor time in total where such iterations are rare.
 */
export const messagesPerInterval = 5;

/** Share of the messages that goes to peers in the same data centre, since they send work to the same replicas. */
export const nearMessageShare = 0.6;

/** In a data centre with few routers, one of this many performs a duty for the others. */
export const routersPerDutyHolder = 5;

/** An update is delayed by this time before it is sent, so that updates in quick succession share a message. */
export const updateDelay = 10;

/** The same where there are many routers: in a roll-out over 55 engines each message goes to 194 peers. */
export const largeFleetUpdateDelay = 40;

/** Updates about weights and weights changes are repeated for this long, since messages get lost. */
export const updateRepetitionTime = 1_500;

/** Prompt tokens that an engine computes per millisecond, assumed until answers show its real rate. */
export const assumedPrefillRate = 40;

/** Smoothing factor of exponentially weighted moving averages. */
export const smoothingFactor = 0.1;

/** Prompts with fewer tokens to compute say too little about an engine's prefill rate. */
export const minRateSampleTokens = 1_500;

/** Time that a plain service takes for a request, assumed until answers show the real one. */
export const assumedServiceTime = 30;

/** Delay that each request already running on an engine adds to the first token of the next one. */
export const delayPerRunningRequest = 1;

/** Placement cost of a replica in another data centre: the network round trip and the price of the traffic. */
export const remotePenalty = 4;

/** Share of an engine's memory that is assumed to hold cached parts; running requests take the rest. */
export const cachedMemoryShare = 0.6;

/** Time to set up a copy of cached parts from another engine. */
export const copySetupTime = 6;

/**
 * Extra wait that is accepted at the replica where a prompt's parts are expected to be. Each part then lies at few
 * replicas, and their memory holds more different parts.
 */
export const homePreference = 25;

/**
 * Factor on the recent loss share that gives the probability that a further copy of a part evicts one that is used
 * again. Above 1, because the losses seen so far come from the copies that exist already.
 */
export const evictionRisk = 4;

/** Starting requests on older weights costs nothing in placement until newer ones have been wanted for this long. */
export const oldWeightsGracePeriod = 1_200;

/** Placement penalty of old weights after {@link oldWeightsGracePeriod}, as a share of the latency objective. */
export const oldWeightsPenaltyShare = 0.3;

/** No request starts on older weights after this share of the bound, its predicted wait included. */
export const oldWeightsCutoffShare = 0.85;

/** A replica that has not used a part for this long is no longer assumed to cache it. */
export const holderTtl = 60_000;

/**
 * Interval between two polls of a cache store. A restart, which loses the store's contents, is detected
 * within it, and a saved part can be found after it. Grows with the number of routers, so that the store's polling
 * load stays constant.
 */
export const cacheStorePollInterval = 1_000;

/** Up to this number of routers, each polls the cache store at the shortest interval. */
export const cacheStorePollersAtShortestInterval = 12;

/** A cache store that takes longer to answer counts as down or cut off, and no parts are copied from it. */
export const cacheStoreTimeout = 400;

/** Smoothing factor of the average share of parts that were lost before they were used again. */
export const lossSmoothingFactor = 0.05;

/**
 * From this loss share on, all shared parts are saved on first use: memory turns over faster than parts are reused.
 * Below it only parts that were lost before are saved.
 */
export const lossWorthSaving = 0.1;

/** Share of a cache store's link that the saves of all routers take; copies out of it queue behind them. */
export const saveLinkShare = 0.5;

/**
 * Link time that all routers together may accumulate for saves: enough for a few prompts at once. Larger bursts delay
 * the copies once parts are being lost: with 400 ms for each of nine routers, a simulated loss of three of eight
 * engines has 85 % of the answers in time instead of 95 %.
 */
export const saveBurst = 300;

/** Shared parts are saved only if an engine takes longer than this to compute them. */
export const minComputingTimeToSave = 20;

/**
 * Shared parts are saved only if they make up at least this share of their prompt: a store takes in whole prompts, and
 * long unshared ends would evict more shared parts than the prompt adds.
 */
export const minShareToSave = 0.5;

/** A part that is still not computed after this time never will be: its request failed. */
export const computingTtl = 5_000;

/** Longest wait for a part that an engine is computing, as a share of the latency objective. */
export const partWaitShare = 0.3;

/** A request waits for a part only if computing it again would take an engine longer than this. */
export const minComputingTimeToAwait = 20;

/** Number of prompt parts whose holders are tracked. */
export const maxTrackedParts = 20_000;

/** What is read of the body of a refusal, which nobody needs: bytes and milliseconds. */
export const refusalBodyLimits = { bytes: 65_536, time: 100 } as const;

/** Longest event of a stream, with the comments before it, bytes. A stream without events could go on for ever. */
export const maxEventBytes = 262_144;

/** Answers without end after which a replica is ejected, also if others of its answers were whole. */
export const endlessAnswersBeforeEjection = 2;

/** How long such a replica is ejected, milliseconds; doubles with each further one up to the longest. */
export const endlessEjectionTimes = { first: 10_000, longest: 300_000 } as const;

/** Consecutive failures after which a replica is ejected: it gets no work for a while. */
export const failuresBeforeEjection = 3;

/** How long a replica is ejected; doubles with each further failure up to the longest. */
export const ejectionTimes = { first: 500, longest: 4_000 } as const;

/** Largest share of a service's replicas that may be ejected at the same time. */
export const maxEjectedShare = 0.5;

/** Placement penalty of a replica whose requests all fail, as a share of the latency objective. */
export const failurePenaltyShare = 2;

/** Share of the remaining time after which an unanswered attempt is abandoned, if another one may follow it. */
export const attemptTimeoutShare = 0.45;

/** Simultaneous weights loads that every source of weights supports; more are tried where the bound requires them. */
export const minSimultaneousLoads = 2;

/**
 * Shares of the bound on old weights within which a roll-out brings all engines to new weights. With the longest one, a
 * roll-out that fails half-way leaves time for a second one. Shorter than the shortest gains little, since requests
 * started on older weights only lose value from about a tenth of the bound on.
 */
export const rollOutTimeShares = { longest: 0.5, shortest: 0.25 } as const;

/** Time that a weights load takes including the polls that detect its end, assumed until one has been observed. */
export const assumedLoadTime = 1_100;

/** A load that takes this many times as long as the fastest one was slowed down by concurrent loads. */
export const slowLoadFactor = 1.35;

/** Engines that drain while others load, as a share of the simultaneous loads: draining takes a quarter of a load. */
export const drainingShare = 0.3;

/**
 * Poll intervals of a roll-out: of the lease holder with and without engines to change, and of other routers, which
 * check whether they have got the lease.
 */
export const rollOutPollIntervals = { busy: 50, idle: 100, withoutLease: 400 } as const;

/** Interval between two checks whether a replica has drained. */
export const drainPollInterval = 50;

/** Share of a service's engines that keep serving while weights change. */
export const minServingShare = 0.5;

/** Delay before an engine whose change failed is tried again. */
export const changeRetryDelay = 300;

/** How long a replica gets no new work before its weights are changed, so that its running requests can end. */
export const drainTimeBeforeLoad = 250;

/** A replica that drains or loads gets no work for this long, unless an update about it arrives. */
export const changingTimeout = drainTimeBeforeLoad + 2_500;

/** Interval at which an engine that was ordered to load weights is polled for its status. */
export const loadPollInterval = 100;

/** Delay of the first of these polls; loads take longer. */
export const firstLoadPollDelay = 300;

/** Longest wait for a load; after it the engine's state is evaluated again. */
export const loadTimeLimit = 6_000;

/** Longest wait for the answer to an order or to a query of an engine's status. */
export const orderTimeout = 1_000;

/** Retry-After of refusals, seconds. */
export const refusalRetryAfter = { soon: 0.25, later: 1 } as const;

/** Upper bound of Retry-After, as a share of the caller's remaining time: callers wait no longer. */
export const maxRetryAfterShare = 0.3;

/**
 * A prompt is shed if its answer is predicted to start later than this many latency objectives. Below 1 because
 * predictions are too low where engines are full: answers in progress slow prompts down. In a simulated burst of twice
 * the usual requests with three of eight engines lost, 4.8 % of the requests fail instead of 12.8 % without shedding,
 * and the 99th percentile of the first token is 2.5 s instead of 5.0 s.
 */
export const sheddingThreshold = 0.7;

/** A prompt is not shed if it waits no longer than this share of the objective before it is started. */
export const toleratedQueueShare = 0.25;

/** Share of the caller's remaining time within which an answer must start to be useful. */
export const usefulAnswerShare = 0.8;

/** Shortest Retry-After of a shed request: a queue of that length is no reason to shed. */
export const minRetryAfter = 100;

/** Width of the random jitter of Retry-After, as a share of it. */
export const retryAfterJitter = 0.6;

/** Longest wait for the platform's store, as a share of the time for which a revoked key may still be served. */
export const storeTimeoutShare = 0.15;

/**
 * Longest wait for a read of the registry, as a share of the time for which a leaving replica may still get work. With
 * the interval between reads, one read that is never answered fits into that time.
 */
export const registryTimeoutShare = 0.375;

/**
 * Phases of a shutdown, as shares of the grace period: until when every request is accepted, by when the load balancer
 * has certainly noticed, and when everything must have ended. A request that is accepted after the first and cut off at
 * the last is lost through this router's fault.
 */
export const shutdownPhases = { acceptShare: 0.33, noticeShare: 0.4, endShare: 0.95 } as const;

/** Interval between two checks for requests that are still in progress during a shutdown. */
export const shutdownPollInterval = 25;

/** Failed connections don't count as attempts at a replica, but a request ends after this many of them. */
export const maxUnsentAttempts = 4;

/** Longest wait for the status of an engine that refused a request because of its weights. */
export const weightsCheckTimeout = 300;

/** Intervals between two reads of that status; they double. */
export const weightsCheckIntervals = { shortest: 50, longest: 400 } as const;

/** Age up to which a status may describe an earlier state of an engine: engines refresh it a few times a second. */
export const maxStatusAge = 1_000;

/** How long an engine's status is read again while it still names the denied weights; longer than its greatest age. */
export const weightsCheckTime = 2_000;

/** A router that is no longer seen keeps its part of the reserve for retries at least this long: it may be cut off. */
export const routerCountMemory = 600_000;

/** Interval between two counts of the routers for it. */
export const routerCountSampleInterval = 500;

/**
 * How long a retry waits at most, milliseconds, at a router that doesn't know yet whether it has started together with
 * all others. Longer than a few calls of the store take.
 */
export const originTimeout = 250;

/** How often a request may arrive at the same incarnation of a replica. */
export const maxArrivalsAtReplica = 2;

/** Refusals because of weights after which a request fails: routers and engines then disagree about most engines. */
export const maxWeightsRefusals = 3;

/** Upper limit of updates about holders of prompt parts in one message. */
export const maxHolderUpdatesPerMessage = 40;

/** Upper limit of draining replicas in one message: 3 KB. Routers learn of more from the registry. */
export const maxLeavingPerMessage = 500;

/**
 * A replica that owes an answer and has sent nothing for this long is probed with a new connection. Several times the
 * gap between an engine's tokens, and well below the time that callers wait for the first one.
 */
export const idleTimeBeforeProbe = 350;

/** Timeout of such a connection: many times the round trip within a region. */
export const connectionProbeTimeout = 200;

/** Interval between two probes of an unreachable replica. */
export const unreachableProbeInterval = 400;

/** Interval between two checks for replicas to probe. */
export const replicaMonitorInterval = 100;

/** A prompt is long if an engine takes more than this share of its latency objective to compute it. */
export const longPromptShare = 0.1;

/** Long prompts are packed onto the same replicas up to a wait of this share of their latency objective. */
export const packingTargetShare = 0.5;

/** Placement cost of a replica for each millisecond by which its wait is below the packing target. */
export const packingShortfallWeight = 0.3;

/** Less urgent prompts at a replica count up to this share of a prompt's latency objective. */
export const lessUrgentShare = 0.5;
