/** Sums the retries that routers grant, over all routers and for each window, from their log lines. */
import { groupBy } from "../state/groupBy.ts";
import type { LogLine } from "./logLines.ts";
import { fieldOf, numberOf } from "./logLines.ts";

/** What one router has granted in a window. */
export interface RouterRetries {
  readonly router: string;
  readonly retries: number;
}

/** The window in which the routers together have granted the most retries for a service. */
export interface RetryWindow {
  readonly service: string;
  /** When it begins, ISO 8601. */
  readonly from: string;
  readonly retries: number;
  /** Requests that these routers had counted in their own windows at their last retry in it. */
  readonly requests: number;
  /** Those that have spent the most first. */
  readonly routers: readonly RouterRetries[];
}

/** Retries over all routers. */
export interface RetrySummary {
  readonly windowSeconds: number;
  /** One for each service, the one with the most retries first. */
  readonly windows: readonly RetryWindow[];
  /** Ids of requests that were sent more often than retries were granted for them. */
  readonly uncounted: readonly string[];
}

const millisecondsPerSecond = 1_000;

const timeOf = ({ at }: LogLine): number => Date.parse(at);

const groupByField = (lines: readonly LogLine[], field: string): ReadonlyMap<string, readonly LogLine[]> =>
  groupBy(lines, (line) => fieldOf(line, field));

/** @param lines - Sorted by time. @returns The lines of the window with the most. */
const findFullestWindow = (lines: readonly LogLine[], window: number): readonly LogLine[] => {
  let from = 0;
  let best = { from: 0, until: 0 };
  for (const [index, line] of lines.entries()) {
    for (
      let first = lines[from];
      first !== undefined && timeOf(first) <= timeOf(line) - window;
      first = lines[from]
    )
      from += 1;
    if (index + 1 - from > best.until - best.from) best = { from, until: index + 1 };
  }
  return lines.slice(best.from, best.until);
};

const lastRequests = (lines: readonly LogLine[]): number => {
  const last = lines.at(-1);
  return last === undefined ? 0 : (numberOf(last, "requests") ?? 0);
};

const describeWindow = (service: string, lines: readonly LogLine[]): RetryWindow => {
  const byRouter = [...groupByField(lines, "router")];
  return {
    service,
    from: lines[0]?.at ?? "",
    retries: lines.length,
    requests: byRouter.reduce((sum, [, own]) => sum + lastRequests(own), 0),
    routers: byRouter
      .map(([router, own]) => ({ router, retries: own.length }))
      .sort((left, right) => right.retries - left.retries),
  };
};

const findUncounted = (lines: readonly LogLine[]): readonly string[] => {
  const granted = groupByField(
    lines.filter(({ event }) => event === "retry_granted"),
    "request",
  );
  const sent = groupByField(
    lines.filter((line) => numberOf(line, "sends") !== undefined),
    "request",
  );
  return [...sent]
    .filter(([request, own]) => {
      const sends = own.reduce((sum, line) => sum + (numberOf(line, "sends") ?? 0), 0);
      return sends - 1 > (granted.get(request)?.length ?? 0);
    })
    .map(([request]) => request);
};

/**
 * Finds the window with the most retries of each service.
 *
 * @param lines - Lines of any number of routers, in any order.
 * @param windowSeconds - Length of the retry budget's window, seconds.
 */
export const summariseRetries = (lines: readonly LogLine[], windowSeconds: number): RetrySummary => {
  const own = lines.filter(({ part }) => part === "requests");
  const granted = own
    .filter(({ event }) => event === "retry_granted")
    .sort((left, right) => timeOf(left) - timeOf(right));
  const windows = [...groupByField(granted, "service")].map(([service, retries]) =>
    describeWindow(service, findFullestWindow(retries, windowSeconds * millisecondsPerSecond)),
  );
  return {
    windowSeconds,
    windows: windows.sort((left, right) => right.retries - left.retries),
    uncounted: findUncounted(own),
  };
};
