import { describe, it } from "node:test";
import { expect } from "earl";
import { createRouteTable } from "../../state/forwarding/routeTable.ts";
import { configurationOf, engineService, streamRoute } from "../../../tests/support/forwardingFixture.ts";
import { createPrecedenceRule, weightedPriorityOf } from "./urgency.ts";

const admissionsOf = (
  routePriorities: readonly number[],
  organisationPriorities: readonly (number | undefined)[],
) => {
  const routes = routePriorities.map((priority) => ({ ...streamRoute, name: `route-${priority}`, priority }));
  const organisations = organisationPriorities.map((priority, index) => ({
    name: `organisation-${index}`,
    keys: [],
    priority,
    isIsolated: false,
    limit: undefined,
  }));
  const table = createRouteTable({ ...configurationOf(1), routes, organisations });
  return organisations.map((organisation) =>
    routes.map((route) => ({ table, route, service: engineService, organisation })),
  );
};

describe("urgency", () => {
  it("keeps the route's priority first where fair shares are not enabled", () => {
    const priorities = admissionsOf([0, 2], [0, 1, 7]).flat().map(weightedPriorityOf);
    expect(priorities).toEqual([0, 6, 1, 7, 7, 8]);
  });

  // Shedding and queueing by different orders serve the class less often that the operator ranks first.
  it("puts an organisation's priority before the route's, which orders equal organisations", () => {
    const rule = createPrecedenceRule();
    expect(admissionsOf([0, 2], [undefined, 0, 1, 5]).flat().map(rule)).toEqual([0, 1, 0, 1, 2, 3, 4, 5]);
  });

  // Engines accept 0 to 9, of which 9 is kept for late prompts; a configuration may use any numbers.
  it("stays below the priority of late prompts and never reverses the order of many priorities", () => {
    const rule = createPrecedenceRule();
    const wide = admissionsOf(
      [-3, 0.5, 40],
      Array.from({ length: 12 }, (_, index) => index * 10),
    );
    const priorities = wide.flat().map(rule);
    expect(priorities).toEqual([...priorities].sort((left, right) => left - right));
    expect([Math.min(...priorities), Math.max(...priorities)]).toEqual([0, 8]);
    expect(priorities.every(Number.isInteger)).toEqual(true);
  });
});
