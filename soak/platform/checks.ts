/** What must hold whatever went wrong, on what callers and replicas saw. */
import type { Arrival, ReceivedOrder } from "../../standIns/platform/replica.ts";
import { cacheSaltOf } from "../../standIns/platform/platformSystem.ts";
import { routerHeader } from "../../tests/support/limitedReplicas.ts";
import type { Violation } from "../types.ts";
import type { CallerRecord, SoakHistory, ReplicaRecord, RequestName, StepRecord } from "./types.ts";

/** Events of every stream of the stand-in's engines in a run. */
export const eventsPerStream = 8;

/** Between the clock that notes what the operator did and the one that notes a run, and for a request's way. */
const slack = 150;

/** How long a disturbance still counts after its end: time limits and retries are shorter. */
const aftermath = 3_000;

const successStatus = 200;
const runsOnce: ReadonlySet<RequestName> = new Set(["post", "ask"]);
/** Statuses that promise that a request has not run and never will. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Refusals that blame the request. */
const blames: ReadonlySet<number> = new Set([401, 403, 404]);

/** Steps that keep a router from knowing what changes. */
const blinding: ReadonlySet<string> = new Set([
  "freezeRouter",
  "storeBusy",
  "storeSilent",
  "storeCut",
  "storeDelayed",
  "storeMuted",
  "storeLosesAnswers",
  "storeReturns",
  "killRouter",
  "killAllRouters",
  "endRouter",
  "endRoutersInTurn",
]);

const isStream = ({ name }: CallerRecord): boolean => name === "ask" || name === "tag";

const runCounts = (replicas: readonly ReplicaRecord[]): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  for (const { runs } of replicas) {
    for (const { id } of runs) counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
};

const expectedBody = (record: CallerRecord): string => {
  if (!isStream(record)) return JSON.stringify({ id: record.id, body: record.sentBody });
  const numbers = Array.from({ length: eventsPerStream }, (_, index) => index + 1);
  return numbers.map((number) => `id: ${number}\ndata: ${record.id} ${number}\n\n`).join("");
};

const answersAreWhole = ({ callers }: SoakHistory): readonly Violation[] =>
  callers
    .filter(
      (record) => record.status === successStatus && !record.isCut && record.body !== expectedBody(record),
    )
    .map(({ id, router, body }) => ({
      promise: "each caller gets the whole answer to its own request, in order",
      detail: `${id} at ${router}: ${body.slice(0, 120)}`,
    }));

/** A replica may stop in the middle of an event. */
const wholeEvents = (body: string): string => body.slice(0, body.lastIndexOf(eventEnd) + eventEnd.length);

const eventEnd = "\n\n";

const cutAnswersBeginWell = ({ callers }: SoakHistory): readonly Violation[] =>
  callers
    .filter((record) => record.status === successStatus && record.isCut)
    .filter((record) => isStream(record) && !expectedBody(record).startsWith(wholeEvents(record.body)))
    .map(({ id, router, body }) => ({
      promise: "what a caller has of a stream is its beginning",
      detail: `${id} at ${router}: ${body.slice(0, 120)}`,
    }));

const runsAtMostOnce = ({ callers, replicas }: SoakHistory): readonly Violation[] => {
  const counts = runCounts(replicas);
  return callers
    .filter(({ id, name }) => runsOnce.has(name) && (counts.get(id) ?? 0) > 1)
    .map(({ id, name }) => ({
      promise: "runs at most once",
      detail: `${name} ${id}: ${counts.get(id) ?? 0} times`,
    }));
};

const refusalsAreTrue = ({ callers, replicas }: SoakHistory): readonly Violation[] => {
  const counts = runCounts(replicas);
  return callers
    .filter(({ id, name, status }) => runsOnce.has(name) && promises.has(status) && counts.has(id))
    .map(({ id, status, router }) => ({
      promise: "a refusal that says not run is true",
      detail: `${id} was refused with ${status} by ${router} and ran`,
    }));
};

const nothingIsBlamed = ({ callers, operator }: SoakHistory): readonly Violation[] => {
  const taken = new Set(operator.revokedKeys.map(({ key }) => key));
  return callers
    .filter(({ key, status }) => blames.has(status) && !taken.has(key))
    .map(({ id, status, router }) => ({
      promise: "nothing that every configuration allows is refused as unknown",
      detail: `${id} got ${status} from ${router}`,
    }));
};

const takenKeysEnd = ({ callers, replicas, operator, bounds }: SoakHistory): readonly Violation[] => {
  const counts = runCounts(replicas);
  const takenAt = new Map(operator.revokedKeys.map(({ key, at }) => [key, at]));
  return callers
    .filter(({ id, key, sentAt }) => {
      const at = takenAt.get(key);
      return at !== undefined && sentAt > at + bounds.keyRevocation + slack && counts.has(id);
    })
    .map(({ id, router }) => ({
      promise: "a key that was taken away opens nothing after the bound",
      detail: `${id} ran by way of ${router}`,
    }));
};

/** Whether something kept any router from knowing better at a moment or shortly before. */
const isBlinded = (steps: readonly StepRecord[], since: number, at: number): boolean =>
  steps.some(({ kind, from, until }) => blinding.has(kind) && from < at && until + aftermath > since);

const leavingIsRespected = ({ replicas, steps, bounds }: SoakHistory): readonly Violation[] =>
  replicas.flatMap(({ id, runs, drainingSince: leftAt }) => {
    if (leftAt === undefined) return [];
    return runs
      .filter(({ at }) => at > leftAt + bounds.drain + slack && !isBlinded(steps, leftAt, at))
      .map((run) => ({
        promise: "a replica that leaves gets nothing after the bound",
        detail: `${run.id} reached ${id} ${Math.round(run.at - leftAt)} ms after it said that it leaves`,
      }));
  });

const routerOf = ({ headers }: Arrival): string => String(headers[routerHeader]);

/** Whether a router lost what it knew, or could not act on it, between two moments. */
const isRouterStruck = (steps: readonly StepRecord[], router: string, since: number, at: number): boolean =>
  steps.some(
    ({ kind, router: struck, from, until }) =>
      from < at && until + slack > since && (struck === router || strikesAll.has(kind)),
  );

const strikesAll: ReadonlySet<string> = new Set(["killAllRouters", "endRoutersInTurn"]);

/** Whether an answer may have been lost or late on its way from a replica. */
const isLinkHarmed = (steps: readonly StepRecord[], at: number): boolean =>
  steps.some(({ kind, from, until }) => harmsLinks.has(kind) && from < at + slack && until + aftermath > at);

const harmsLinks: ReadonlySet<string> = new Set([
  "replicaReset",
  "replicaSilent",
  "replicaOneWay",
  "replicaDelayed",
  "replicaMuted",
]);

const drainingIsRespected = ({ callers, replicas, steps, bounds }: SoakHistory): readonly Violation[] =>
  replicas.flatMap(({ id, arrivals }) => {
    const reports = callers.filter(({ drainingReplica }) => drainingReplica === id);
    return arrivals.flatMap((arrival) => {
      const router = routerOf(arrival);
      const report = reports.find(
        ({ router: through, endedAt }) => through === router && endedAt + bounds.drain + slack < arrival.at,
      );
      if (report === undefined || isRouterStruck(steps, router, report.sentAt, arrival.at)) return [];
      return {
        promise: "a replica that reports draining gets nothing after the bound",
        detail: `${router} reached ${id} ${Math.round(arrival.at - report.endedAt)} ms after it passed that on`,
      };
    });
  });

/** Requests under way when a replica asks for backoff may arrive for so long; after that so many. */
const backoffGrace = 500;
const mostInBackoff = 2;

const backoffIsRespected = ({ replicas, steps }: SoakHistory): readonly Violation[] =>
  replicas.flatMap(({ id, arrivals }) =>
    arrivals.flatMap((refused) => {
      const { refusedAt, retryAfter } = refused;
      if (refusedAt === undefined || retryAfter === undefined || retryAfter === "") return [];
      const end = refusedAt + Number(retryAfter) * 1_000;
      const router = routerOf(refused);
      const within = arrivals.filter(
        (arrival) =>
          routerOf(arrival) === router && arrival.at > refusedAt + backoffGrace && arrival.at < end,
      );
      if (within.length <= mostInBackoff || isLinkHarmed(steps, refusedAt)) return [];
      if (isRouterStruck(steps, router, refusedAt, end)) return [];
      return {
        promise: "a replica that asks for backoff gets nothing of that router",
        detail: `${router} sent ${within.length} requests to ${id} within ${retryAfter} s`,
      };
    }),
  );

const hasOneHolder = (id: string, orders: readonly ReceivedOrder[]): readonly Violation[] => {
  const found: Violation[] = [];
  const holders = new Map<number, string>();
  let highest = 0;
  let version = 0;
  for (const order of orders) {
    const promise = "orders come from one holder, with rising numbers and versions";
    const other = holders.get(order.fence);
    if (other !== undefined && other !== order.holder) {
      found.push({ promise, detail: `${id}: ${other} and ${order.holder} with number ${order.fence}` });
    }
    if (order.fence < highest)
      found.push({ promise, detail: `${id}: number ${order.fence} after ${highest}` });
    if (order.version < version)
      found.push({ promise, detail: `${id}: version ${order.version} after ${version}` });
    holders.set(order.fence, order.holder);
    highest = Math.max(highest, order.fence);
    version = Math.max(version, order.version);
  }
  return found;
};

const oldWeightsEnd = ({ replicas, steps, operator, bounds }: SoakHistory): readonly Violation[] =>
  replicas.flatMap(({ id, runs }) =>
    runs
      .filter(({ weightsVersion, at }) => {
        const newer = operator.weights.find(({ version }) => version > weightsVersion);
        if (weightsVersion === 0 || newer === undefined) return false;
        return at > newer.at + bounds.weights + slack && !isBlinded(steps, newer.at, at);
      })
      .map((run) => ({
        promise: "nothing begins on weights older than the bound allows",
        detail: `${run.id} began on version ${run.weightsVersion} at ${id}`,
      })),
  );

const wallsHold = ({ callers, replicas }: SoakHistory): readonly Violation[] => {
  const organisationOf = new Map(callers.map(({ id, organisation }) => [id, organisation]));
  const users = new Map<string, Set<string>>();
  for (const run of replicas.flatMap(({ runs }) => runs)) {
    const salt = cacheSaltOf(run);
    const organisation = organisationOf.get(run.id);
    if (salt === undefined || organisation === undefined) continue;
    users.set(salt, (users.get(salt) ?? new Set()).add(organisation));
  }
  return [...users]
    .filter(([, organisations]) => organisations.has(isolatedOrganisation) && organisations.size > 1)
    .map(([salt]) => ({ promise: "an isolated organisation shares no cached part", detail: `salt ${salt}` }));
};

/** The organisation of the stand-in's configuration that shares nothing. */
const isolatedOrganisation = "two";

const endsAreOrderly = ({ shutdowns: ends }: SoakHistory): readonly Violation[] =>
  ends
    .filter(({ code }) => code !== 0)
    .map(({ router, code }) => ({
      promise: "a router that is asked to end ends well",
      detail: `${router} ${code === undefined ? "did not end" : `ended with ${String(code)}`}`,
    }));

/** Requests that a router had read when it was asked to end, and cut although nothing else was wrong. */
const endsLoseNothing = ({ callers, shutdowns: ends, steps }: SoakHistory): readonly Violation[] =>
  ends.flatMap(({ router, askedAt }) =>
    callers
      .filter(
        ({ router: at, status, isCut, hasDisconnected: hasLeft }) =>
          at === router && !hasLeft && (status === 0 || isCut),
      )
      .filter(({ sentAt, endedAt }) => sentAt < askedAt && endedAt > askedAt)
      .filter(({ sentAt, endedAt }) => !isDisturbed(steps, sentAt, endedAt))
      .map(({ id, status }) => ({
        promise: "a planned end loses no request",
        detail: `${id} at ${router}: status ${status}, cut`,
      })),
  );

const isDisturbed = (steps: readonly StepRecord[], since: number, at: number): boolean =>
  steps.some(
    ({ kind, from, until }) =>
      !kind.startsWith("endRouter") &&
      from < at &&
      until + aftermath > since &&
      kind !== "changeConfiguration",
  );

/** Of requests sent once all is over, nearly all are served. */
const leastServedAfterwards = 0.9;
const fewestForShare = 20;

const recovers = ({ callers, operator, lastStepEndedAt: quietAt }: SoakHistory): readonly Violation[] => {
  const taken = new Set(operator.revokedKeys.map(({ key }) => key));
  const after = callers.filter(({ sentAt, key }) => sentAt > quietAt + aftermath && !taken.has(key));
  const served = after.filter(({ status, isCut }) => status === successStatus && !isCut).length;
  if (after.length >= fewestForShare && served >= after.length * leastServedAfterwards) return [];
  return [
    {
      promise: "all is served again after the last disturbance",
      detail: `${served} of ${after.length} were`,
    },
  ];
};

const proofsAreOfThePast = ({ proofAges }: SoakHistory): readonly Violation[] =>
  proofAges
    .filter((age) => age < 0)
    .map((age) => ({
      promise: "a proof of the configuration is no younger than it is",
      detail: `${age} ms old`,
    }));

/** @returns All that is wrong. */
export const findPlatformViolations = (history: SoakHistory): readonly Violation[] => [
  ...answersAreWhole(history),
  ...cutAnswersBeginWell(history),
  ...runsAtMostOnce(history),
  ...refusalsAreTrue(history),
  ...nothingIsBlamed(history),
  ...takenKeysEnd(history),
  ...leavingIsRespected(history),
  ...drainingIsRespected(history),
  ...backoffIsRespected(history),
  ...history.replicas.flatMap(({ id, orders }) => hasOneHolder(id, orders)),
  ...oldWeightsEnd(history),
  ...wallsHold(history),
  ...endsAreOrderly(history),
  ...endsLoseNothing(history),
  ...proofsAreOfThePast(history),
  ...recovers(history),
];
