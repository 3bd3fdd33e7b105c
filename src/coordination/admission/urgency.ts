/**
 * Urgency of requests: one rule for queueing, shedding, preemption and the order of retries.
 *
 * Handles organisations and request classes of different urgency that compete for the same engines. Where queueing and
 * shedding order them differently, a burst of one class is admitted by one rule and queued in front by the other, and
 * the class that the operator ranks first is served less often.
 */
import { priorities } from "../../state/forwarding/replicaState.ts";
import type { RouteTable } from "../../state/forwarding/routeTable.ts";
import type { Admission } from "../forwarding/types.ts";

/** @returns The priority of a request at engines, 0 (the most urgent) to 8; 9 is reserved for late prompts. */
export type PriorityRule = (admission: Admission) => number;

/** Number of priorities that requests may have; the last priority of engines is that of late prompts. */
const levels = priorities - 1;

/** Weight of a route's priority relative to an organisation's. */
const routeWeight = 3;

/**
 * Combines both priorities; a lower number is more urgent. The route's counts more, since routes differ in urgency more
 * than organisations do. Used where fair shares are not enabled.
 */
export const weightedPriorityOf: PriorityRule = ({ route, organisation }) => {
  const combined = route.priority * routeWeight + (organisation?.priority ?? 0);
  return Math.min(levels - 1, Math.max(0, combined));
};

/** The different priorities of a configuration, the most urgent first. */
interface PriorityRanks {
  readonly organisations: readonly number[];
  readonly routes: readonly number[];
}

const distinct = (values: readonly number[]): readonly number[] =>
  [...new Set(values)].sort((left, right) => left - right);

const ranksOf = ({ configuration }: RouteTable, service: string): PriorityRanks => ({
  // Requests without an organisation, or of one without a priority, count as priority 0.
  organisations: distinct([0, ...(configuration.organisations ?? []).map(({ priority }) => priority ?? 0)]),
  routes: distinct(
    configuration.routes
      .filter(({ targets }) => targets.some((target) => target.service === service))
      .map(({ priority }) => priority),
  ),
});

/**
 * Creates the rule by which an organisation's priority takes precedence over the route's, and the route's orders
 * requests of organisations that are equal. Ranks come from the configuration, since its priorities are any numbers. A
 * configuration with more combinations than engines distinguish has neighbouring ones share a priority; their order is
 * never reversed.
 */
export const createPrecedenceRule = (): PriorityRule => {
  const cache = new WeakMap<RouteTable, Map<string, PriorityRanks>>();

  const cachedRanks = (table: RouteTable, service: string): PriorityRanks => {
    const ofTable = cache.get(table) ?? new Map<string, PriorityRanks>();
    cache.set(table, ofTable);
    const ranks = ofTable.get(service) ?? ranksOf(table, service);
    ofTable.set(service, ranks);
    return ranks;
  };

  return ({ table, route, service, organisation }) => {
    const { organisations, routes } = cachedRanks(table, service.name);
    const organisationRank = Math.max(0, organisations.indexOf(organisation?.priority ?? 0));
    const routeRank = Math.max(0, routes.indexOf(route.priority));
    const rank = organisationRank * routes.length + routeRank;
    const combinations = organisations.length * routes.length;
    return combinations <= levels ? rank : Math.floor((rank * levels) / combinations);
  };
};
