/** Invariants that must hold under every fault, checked on what callers and replicas recorded. */
import type { Arrival, ReceivedOrder } from "../../standIns/platform/replica.ts";
import { cacheSaltOf } from "../../standIns/platform/platformSystem.ts";
import { routerHeader } from "../../tests/support/limitedReplicas.ts";
import { floodingOrganisation } from "./callers.ts";
import type { Violation } from "../types.ts";
import { findCrashingPartOverruns } from "./crashingPartCheck.ts";
import { findRetryBudgetOverruns } from "./retryBudgetCheck.ts";
import { updateBlockingSteps } from "./stepGroups.ts";
import type { CallerRecord, SoakHistory, ReplicaRecord, RequestName, StepRecord } from "./types.ts";

/** Number of events in every stream of the stand-in's engines. */
export const eventsPerStream = 8;

/** Tolerance in milliseconds between recorded times, including the transit time of a request. */
const tolerance = 150;

/** How long a fault may still have effects after its end, milliseconds: longer than all timeouts and retries. */
const recoveryTime = 3_000;

const successStatus = 200;
const nonIdempotentRequests: ReadonlySet<RequestName> = new Set(["post", "ask"]);
/** Statuses that declare that a request was not executed and never will be. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Statuses that reject the request itself as invalid. */
const clientErrorStatuses: ReadonlySet<number> = new Set([401, 403, 404]);

const isStream = ({ name }: CallerRecord): boolean => name === "ask" || name === "tag";

const countRuns = (replicas: readonly ReplicaRecord[]): ReadonlyMap<string, number> => {
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

/** Length of the text that is shown of a wrong body, characters. */
const shownLength = 120;

/** @returns The lengths of a body and of the expected one, and both from shortly before the first difference on. */
const describeDifference = (body: string, expected: string): string => {
  let same = 0;
  while (same < body.length && body[same] === expected[same]) same += 1;
  const from = Math.max(0, same - shownLength / 2);
  const shown = [body, expected].map((text) => JSON.stringify(text.slice(from, from + shownLength)));
  return `${body.length} characters instead of ${expected.length}, from ${from} on ${shown.join(" instead of ")}`;
};

/** @returns How long a caller waited, and whether it had left by itself before the answer ended. */
const describeCaller = ({ sentAt, endedAt, hasDisconnected }: CallerRecord): string =>
  `${hasDisconnected ? "left" : "ended"} after ${Math.round(endedAt - sentAt)} ms`;

const describeWrongBody = (record: CallerRecord): string =>
  `${record.id} at ${record.router}, ${describeCaller(record)}: ${describeDifference(record.body, expectedBody(record))}`;

const findWrongAnswers = ({ callers }: SoakHistory): readonly Violation[] =>
  callers
    .filter(
      (record) => record.status === successStatus && !record.isCut && record.body !== expectedBody(record),
    )
    .map((record) => ({
      promise: "each caller gets the whole answer to its own request, in order",
      detail: describeWrongBody(record),
    }));

/** The incomplete event that the stand-in of an engine sends before it cuts a stream. */
const cutEvent = /data: ha$/;

const eventEnd = "\n\n";

/** Whether what a caller has of an answer is its beginning, to the last character. */
const isBeginning = (record: CallerRecord): boolean => {
  const expected = expectedBody(record);
  // Whole paddings were removed when the body was recorded; a cut may leave a part of the last one.
  const body = record.padding === 0 ? record.body : record.body.replace(/x+$/, "");
  const isWithinPadding = body.length < record.body.length;
  if (isWithinPadding) return expected.startsWith(body) && expected.startsWith(eventEnd, body.length);
  return expected.startsWith(isStream(record) ? body.replace(cutEvent, "") : body);
};

const findWrongPartialAnswers = ({ callers }: SoakHistory): readonly Violation[] =>
  callers
    .filter((record) => record.status === successStatus && record.isCut && !isBeginning(record))
    .map((record) => ({
      promise: "what a caller has of an answer is its beginning",
      detail: describeWrongBody(record),
    }));

const findRepeatedExecutions = ({ callers, replicas }: SoakHistory): readonly Violation[] => {
  const counts = countRuns(replicas);
  return callers
    .filter(({ id, name }) => nonIdempotentRequests.has(name) && (counts.get(id) ?? 0) > 1)
    .map(({ id, name }) => ({
      promise: "runs at most once",
      detail: `${name} ${id}: ${counts.get(id) ?? 0} times`,
    }));
};

const findExecutedRefusals = ({ callers, replicas }: SoakHistory): readonly Violation[] => {
  const counts = countRuns(replicas);
  return callers
    .filter(
      ({ id, name, status }) =>
        nonIdempotentRequests.has(name) && notExecutedStatuses.has(status) && counts.has(id),
    )
    .map(({ id, status, router }) => ({
      promise: "a refusal that says not run is true",
      detail: `${id} was refused with ${status} by ${router} and ran`,
    }));
};

const findWrongClientErrors = ({ callers, operator }: SoakHistory): readonly Violation[] => {
  const revoked = new Set(operator.revokedKeys.map(({ key }) => key));
  return callers
    .filter(({ key, status }) => clientErrorStatuses.has(status) && !revoked.has(key))
    .map(({ id, status, router }) => ({
      promise: "nothing that every configuration allows is refused as unknown",
      detail: `${id} got ${status} from ${router}`,
    }));
};

const findRevokedKeyUses = ({ callers, replicas, operator, bounds }: SoakHistory): readonly Violation[] => {
  const counts = countRuns(replicas);
  const revokedAt = new Map(operator.revokedKeys.map(({ key, at }) => [key, at]));
  return callers
    .filter(({ id, key, sentAt }) => {
      const at = revokedAt.get(key);
      return at !== undefined && sentAt > at + bounds.keyRevocation + tolerance && counts.has(id);
    })
    .map(({ id, router }) => ({
      promise: "a key that was taken away opens nothing after the bound",
      detail: `${id} ran by way of ${router}`,
    }));
};

/** Whether a fault could have kept any router from receiving updates at some time between `since` and `at`. */
const couldMissUpdates = (steps: readonly StepRecord[], since: number, at: number): boolean =>
  steps.some(
    ({ kind, from, until }) => updateBlockingSteps.has(kind) && from < at && until + recoveryTime > since,
  );

const findRequestsAfterDrain = ({ replicas, steps, bounds }: SoakHistory): readonly Violation[] =>
  replicas.flatMap(({ id, runs, drainingSince }) => {
    if (drainingSince === undefined) return [];
    return runs
      .filter(
        ({ at }) =>
          at > drainingSince + bounds.drain + tolerance && !couldMissUpdates(steps, drainingSince, at),
      )
      .map((run) => ({
        promise: "a replica that leaves gets nothing after the bound",
        detail: `${run.id} reached ${id} ${Math.round(run.at - drainingSince)} ms after it said that it leaves`,
      }));
  });

const routerOf = ({ headers }: Arrival): string => String(headers[routerHeader]);

/** Whether a step between two times made a router lose its state or kept it from acting on it. */
const wasRouterDisturbed = (
  steps: readonly StepRecord[],
  router: string,
  since: number,
  at: number,
): boolean =>
  steps.some(
    ({ kind, router: stepRouter, from, until }) =>
      from < at && until + tolerance > since && (stepRouter === router || stepsOnAllRouters.has(kind)),
  );

const stepsOnAllRouters: ReadonlySet<string> = new Set(["killAllRouters", "endRoutersInTurn"]);

/** Whether a replica's answer may have been lost or delayed in transit. */
const wasReplicaLinkDisturbed = (steps: readonly StepRecord[], at: number): boolean =>
  steps.some(
    ({ kind, from, until }) =>
      replicaLinkSteps.has(kind) && from < at + tolerance && until + recoveryTime > at,
  );

const replicaLinkSteps: ReadonlySet<string> = new Set([
  "replicaReset",
  "replicaSilent",
  "replicaOneWay",
  "replicaDelayed",
  "replicaMuted",
]);

const findRequestsAfterDrainingReport = ({
  callers,
  replicas,
  steps,
  bounds,
}: SoakHistory): readonly Violation[] =>
  replicas.flatMap(({ id, arrivals }) => {
    const reports = callers.filter(({ drainingReplica }) => drainingReplica === id);
    return arrivals.flatMap((arrival) => {
      const router = routerOf(arrival);
      const report = reports.find(
        ({ router: through, endedAt }) =>
          through === router && endedAt + bounds.drain + tolerance < arrival.at,
      );
      if (report === undefined || wasRouterDisturbed(steps, router, report.sentAt, arrival.at)) return [];
      return {
        promise: "a replica that reports draining gets nothing after the bound",
        detail: `${router} reached ${id} ${Math.round(arrival.at - report.endedAt)} ms after it passed that on`,
      };
    });
  });

/**
 * Requests in transit when a replica asks for backoff may arrive for `backoffGrace` milliseconds, and at most
 * `maxRequestsInBackoff` after that.
 */
const backoffGrace = 500;
const maxRequestsInBackoff = 2;

const findRequestsInBackoff = ({ replicas, steps }: SoakHistory): readonly Violation[] =>
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
      if (within.length <= maxRequestsInBackoff || wasReplicaLinkDisturbed(steps, refusedAt)) return [];
      if (wasRouterDisturbed(steps, router, refusedAt, end)) return [];
      return {
        promise: "a replica that asks for backoff gets nothing of that router",
        detail: `${router} sent ${within.length} requests to ${id} within ${retryAfter} s`,
      };
    }),
  );

const findOrderConflicts = (id: string, orders: readonly ReceivedOrder[]): readonly Violation[] => {
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

const findOutdatedWeights = ({ replicas, steps, operator, bounds }: SoakHistory): readonly Violation[] =>
  replicas.flatMap(({ id, runs }) =>
    runs
      .filter(({ weightsVersion, at }) => {
        const newer = operator.weights.find(({ version }) => version > weightsVersion);
        if (weightsVersion === 0 || newer === undefined) return false;
        return at > newer.at + bounds.weights + tolerance && !couldMissUpdates(steps, newer.at, at);
      })
      .map((run) => ({
        promise: "nothing begins on weights older than the bound allows",
        detail: `${run.id} began on version ${run.weightsVersion} at ${id}`,
      })),
  );

const findSharedCacheSalts = ({ callers, replicas }: SoakHistory): readonly Violation[] => {
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

/** The isolated organisation in the stand-in's configuration. */
const isolatedOrganisation = "two";

const findFailedShutdowns = ({ shutdowns }: SoakHistory): readonly Violation[] =>
  shutdowns
    .filter(({ code }) => code !== 0)
    .map(({ router, code }) => ({
      promise: "a router that is asked to end ends well",
      detail: `${router} ${code === undefined ? "did not end" : `ended with ${String(code)}`}`,
    }));

/** Finds requests that were sent before a router was asked to shut down and cut without any other fault. */
const findRequestsCutByShutdown = ({ callers, shutdowns, steps }: SoakHistory): readonly Violation[] =>
  shutdowns.flatMap(({ router, askedAt }) =>
    callers
      .filter(
        ({ router: at, status, isCut, hasDisconnected }) =>
          at === router && !hasDisconnected && (status === 0 || isCut),
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
      until + recoveryTime > since &&
      kind !== "changeConfiguration",
  );

/** Share of the requests after the last step that must be served, and the number of requests that it takes. */
const minServedShare = 0.9;
const minRequestsForShare = 20;

const findMissingRecovery = ({ callers, operator, lastStepEndedAt }: SoakHistory): readonly Violation[] => {
  const revoked = new Set(operator.revokedKeys.map(({ key }) => key));
  const after = callers.filter(
    ({ sentAt, key }) => sentAt > lastStepEndedAt + recoveryTime && !revoked.has(key),
  );
  const served = after.filter(({ status, isCut }) => status === successStatus && !isCut).length;
  if (after.length >= minRequestsForShare && served >= after.length * minServedShare) return [];
  return [
    {
      promise: "all is served again after the last disturbance",
      detail: `${served} of ${after.length} were`,
    },
  ];
};

/**
 * Share of the requests of other organisations that must be served from this long after a flood, and for which time they
 * are counted, milliseconds.
 */
const afterFlood = { share: 0.95, from: 3_000, time: 2_000 } as const;

const findUnservedAfterFlood = ({ callers, operator, steps }: SoakHistory): readonly Violation[] => {
  const revoked = new Set(operator.revokedKeys.map(({ key }) => key));
  return steps
    .filter(({ kind }) => kind === "organisationFloods")
    .flatMap((flood) => {
      const from = flood.until + afterFlood.from;
      const others = callers.filter(
        ({ organisation, key, sentAt, endedAt, hasDisconnected }) =>
          organisation !== floodingOrganisation.name &&
          !revoked.has(key) &&
          !hasDisconnected &&
          sentAt > from &&
          sentAt < from + afterFlood.time &&
          !isDisturbed(
            steps.filter((step) => step !== flood),
            sentAt,
            endedAt,
          ),
      );
      const served = others.filter(({ status, isCut }) => status === successStatus && !isCut).length;
      if (others.length < minRequestsForShare || served >= others.length * afterFlood.share) return [];
      return {
        promise: "other organisations are served again after a flood",
        detail: `${served} of ${others.length} were`,
      };
    });
};

const findNegativeProofAges = ({ proofAges }: SoakHistory): readonly Violation[] =>
  proofAges
    .filter((age) => age < 0)
    .map((age) => ({
      promise: "a proof of the configuration is no younger than it is",
      detail: `${age} ms old`,
    }));

const maxShownFault = 400;

/** A fault that costs only one task is one of the router's own code, too. */
const findFaults = ({ faults }: SoakHistory): readonly Violation[] =>
  faults.map((line) => ({
    promise: "no router ends by itself, and no task of it fails",
    detail: line.slice(0, maxShownFault),
  }));

/** @returns All violations found in the records of a run. */
export const findPlatformViolations = (history: SoakHistory): readonly Violation[] => [
  ...findWrongAnswers(history),
  ...findWrongPartialAnswers(history),
  ...findRepeatedExecutions(history),
  ...findExecutedRefusals(history),
  ...findWrongClientErrors(history),
  ...findRevokedKeyUses(history),
  ...findRequestsAfterDrain(history),
  ...findRequestsAfterDrainingReport(history),
  ...findRequestsInBackoff(history),
  ...findRetryBudgetOverruns(history),
  ...findCrashingPartOverruns(history),
  ...history.replicas.flatMap(({ id, orders }) => findOrderConflicts(id, orders)),
  ...findOutdatedWeights(history),
  ...findSharedCacheSalts(history),
  ...findFailedShutdowns(history),
  ...findRequestsCutByShutdown(history),
  ...findNegativeProofAges(history),
  ...findFaults(history),
  ...findMissingRecovery(history),
  ...findUnservedAfterFlood(history),
];
