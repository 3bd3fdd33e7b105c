/** Reconstructs what happened to one request from the log lines of all routers. */
import type { LogLine } from "./logLines.ts";
import { fieldOf, numberOf } from "./logLines.ts";

/** One log line, described for people. */
export interface TimelineStep {
  readonly at: string;
  readonly router: string;
  readonly text: string;
}

/** The log lines about one request, related events, and the most likely cause of its outcome. */
export interface RequestTimeline {
  readonly request: string;
  readonly steps: readonly TimelineStep[];
  /** Events of the same routers and replicas at about the same time. */
  readonly around: readonly TimelineStep[];
  /** The most likely cause of the outcome. */
  readonly cause: string;
}

/** Events this long before and after a request may explain it, milliseconds. */
const contextWindow = { before: 5_000, after: 1_000 } as const;

/** More lines would hide the relevant ones. */
const maxContextLines = 25;

/** A response that takes this many times the predicted wait shows that the router's view was wrong. */
const latePredictionFactor = 3;

const describers: Readonly<Record<string, (line: LogLine) => string>> = {
  "requests served": (line) =>
    `answered by replica ${fieldOf(line, "replica")} after ${fieldOf(line, "milliseconds")} ms, ${fieldOf(line, "attempts")} attempts`,
  // The replica answered with an error status.
  "requests failed_there": (line) =>
    `replica ${fieldOf(line, "replica")} answered a failure of its own, passed on after ${fieldOf(line, "milliseconds")} ms`,
  "requests failed": (line) => `failed after ${fieldOf(line, "milliseconds")} ms: ${fieldOf(line, "reason")}`,
  "requests stream_broken": (line) =>
    `the stream from replica ${fieldOf(line, "replica")} broke after ${fieldOf(line, "milliseconds")} ms: ${fieldOf(line, "reason")}`,
  "requests stream_left": (line) => `the caller left after ${fieldOf(line, "milliseconds")} ms`,
  "requests refused": (line) =>
    `refused before any replica was chosen: ${fieldOf(line, "reason")} (configuration ${fieldOf(line, "configurationVersion")}, store epoch ${fieldOf(line, "storeEpoch")}, read ${fieldOf(line, "readAge")} ms and proved ${fieldOf(line, "configurationAge")} ms before)`,
  "requests attempt_failed": (line) =>
    `attempt at replica ${fieldOf(line, "replica")} failed: ${fieldOf(line, "fault")}, ${fieldOf(line, "progress")}, status ${fieldOf(line, "status")}`,
  "requests turned_away": (line) =>
    `turned away (${fieldOf(line, "reason")}): replica ${fieldOf(line, "replica")} would answer after ${fieldOf(line, "predictedWait")} ms, ${fieldOf(line, "queueWait")} ms of it behind others; ${fieldOf(line, "queued")} ms were queued there, ${fieldOf(line, "organisationQueued")} ms of it by ${fieldOf(line, "organisation")}, with room for ${fieldOf(line, "capacity")} ms; told to retry after ${fieldOf(line, "comeBackAfter")} ms`,
  "requests limited": (line) =>
    `counts ${fieldOf(line, "amount")} beyond the limit of ${fieldOf(line, "organisation")}; told to retry after ${fieldOf(line, "comeBackAfter")} ms`,
  "requests no_replica": (line) =>
    `no replica of ${fieldOf(line, "service")} could be chosen: ${fieldOf(line, "reason")}`,
  "requests unfinished_event": (line) =>
    `the stream of replica ${fieldOf(line, "replica")} ended inside an event, after ${fieldOf(line, "events")} whole events (end marked by ${fieldOf(line, "framing")})`,
  "requests resuming": (line) =>
    `the stream goes on at another replica after event ${fieldOf(line, "after")}`,
};

/** Events that say something about a router, independent of any request. */
const routerEvents: ReadonlySet<string> = new Set([
  "feeds lost",
  "feeds regained",
  "configuration applied",
  "configuration weights_wanted",
  "daemon starting",
  "daemon ending",
  "daemon reloaded",
  "peers silent",
  "owners silent",
  "limits count_begins",
  "limits count_ends",
  "limits unasked",
  "quarantine held",
  "quarantine released",
  "quarantine trial",
  "log left_out",
]);

/** Events that say something about a replica, independent of any request. */
const replicaEvents: ReadonlySet<string> = new Set([
  "replicas ejected",
  "replicas draining",
  "replicas entry_dropped",
  "replicas backoff_started",
  "replicas backoff_ended",
  "replicas crashed",
  "replicas unreachable",
  "replicas reachable_again",
  "router replica",
  "orders ordered",
  "orders change_failed",
]);

const eventNameOf = ({ part, event }: LogLine): string => `${part} ${event}`;

const formatFields = (line: LogLine): string =>
  Object.keys(line)
    .filter((name) => !["at", "part", "event", "router"].includes(name))
    .map((name) => `${name}=${fieldOf(line, name)}`)
    .join(" ");

const describeSkipped = (line: LogLine): string =>
  line.skipped === undefined ? "" : `; replicas that were not available: ${fieldOf(line, "skipped")}`;

const describeRegistryAge = (line: LogLine): string =>
  numberOf(line, "registryAge") === undefined
    ? ""
    : `; when it was sent, the registry had been read ${fieldOf(line, "registryAge")} ms before`;

const stepOf = (line: LogLine): TimelineStep => {
  const described = describers[eventNameOf(line)]?.(line);
  const text =
    described === undefined
      ? `${eventNameOf(line)} ${formatFields(line)}`
      : described + describeRegistryAge(line) + describeSkipped(line);
  return { at: line.at, router: line.router, text };
};

const byTime = (left: LogLine, right: LogLine): number => Date.parse(left.at) - Date.parse(right.at);

/** A request is logged when it ends, so its start is computed from its duration. */
const contextSpanOf = (requestLines: readonly LogLine[]) => {
  const ends = requestLines.map(({ at }) => Date.parse(at));
  const starts = requestLines.map((line) => Date.parse(line.at) - (numberOf(line, "milliseconds") ?? 0));
  return { from: Math.min(...starts) - contextWindow.before, until: Math.max(...ends) + contextWindow.after };
};

/** @returns The replica ids in a list such as `desk-0:backoff:1200 desk-1:draining`. */
const skippedReplicaIds = (line: LogLine): readonly string[] =>
  fieldOf(line, "skipped")
    .split(" ")
    .map((each) => each.split(":", 1).join());

const contextLines = (lines: readonly LogLine[], requestLines: readonly LogLine[]): readonly LogLine[] => {
  const { from, until } = contextSpanOf(requestLines);
  const routers = new Set(requestLines.map(({ router }) => router));
  const replicas = new Set(
    requestLines.flatMap((line) => [fieldOf(line, "replica"), ...skippedReplicaIds(line)]),
  );
  return lines
    .filter(({ at }) => Date.parse(at) >= from && Date.parse(at) <= until)
    .filter(
      (line) =>
        (routerEvents.has(eventNameOf(line)) && routers.has(line.router)) ||
        (replicaEvents.has(eventNameOf(line)) && replicas.has(fieldOf(line, "replica"))),
    )
    .sort(byTime)
    .slice(-maxContextLines);
};

const wasTurnedAwayFor = (requestLines: readonly LogLine[], reason: string): boolean =>
  requestLines.some(
    (line) => eventNameOf(line) === "requests turned_away" && fieldOf(line, "reason") === reason,
  );

const causes: readonly {
  readonly applies: (end: LogLine, requestLines: readonly LogLine[]) => boolean;
  readonly text: string;
}[] = [
  {
    applies: (end) =>
      eventNameOf(end) === "requests refused" && fieldOf(end, "reason").includes("configuration"),
    text: "the router had no fresh proof that its configuration was in force; see whether it had lost the store",
  },
  {
    applies: (_, requestLines) => requestLines.some((line) => eventNameOf(line) === "requests limited"),
    text: "its organisation had used what its limit allows; see whether the router could ask the coordinator of the limit",
  },
  {
    applies: (_, requestLines) => wasTurnedAwayFor(requestLines, "share"),
    text: "its organisation had queued its share of the contended replicas; count the lines turned_away by organisation",
  },
  {
    applies: (_, requestLines) => wasTurnedAwayFor(requestLines, "urgent_work"),
    text: "more urgent requests would have been late behind it; see which route bursts",
  },
  {
    applies: (_, requestLines) => wasTurnedAwayFor(requestLines, "reserved"),
    text: "the room left was reserved for requests of its organisation that were refused before it",
  },
  {
    applies: (end) => fieldOf(end, "reason").startsWith("Replicas crashed"),
    text: "what it asks was in flight at three replicas that crashed; see held, trial and released of the quarantine",
  },
  {
    applies: (end) => eventNameOf(end) === "requests refused",
    text: "the request was not allowed by the configuration",
  },
  {
    applies: (end) => fieldOf(end, "reason").startsWith("All replicas are shutting down"),
    text: "every replica of the service drained or had asked for backoff; see which were skipped and why",
  },
  {
    applies: (_, requestLines) => requestLines.some((line) => fieldOf(line, "fault") === "wrong_weights"),
    text: "the replica ran other weights than the router assumed",
  },
  {
    applies: (end, requestLines) =>
      eventNameOf(end) !== "requests served" &&
      requestLines.some((line) => fieldOf(line, "progress") === "refused"),
    text: "replicas refused the request as not run: they were full or loading",
  },
  {
    applies: (end, requestLines) =>
      eventNameOf(end) === "requests failed" &&
      requestLines.some((line) => fieldOf(line, "fault") === "cancelled"),
    text: "the router ended its attempt: the caller went away, or the time of the request was over",
  },
  {
    applies: (_, requestLines) => requestLines.some((line) => eventNameOf(line) === "requests no_replica"),
    text: "no replica of the service could take the request",
  },
  {
    applies: (end) => eventNameOf(end) === "requests stream_broken" || eventNameOf(end) === "requests failed",
    text: "the replica's connection failed or it was silent; see what is known of it below",
  },
  // The replica answered with an error status.
  { applies: (end) => eventNameOf(end) === "requests failed_there", text: "the replica failed by itself" },
  { applies: (end) => eventNameOf(end) === "requests stream_left", text: "the caller went away" },
  {
    applies: (end) => (numberOf(end, "replicasAsked") ?? 0) > 0 && numberOf(end, "replicasKnown") === 0,
    text: "no owner of a replica answered in time, and the router knew its own work alone; see which are silent",
  },
  {
    applies: (end) =>
      (numberOf(end, "milliseconds") ?? 0) >
      latePredictionFactor * (numberOf(end, "predictedWait") ?? Infinity),
    text: "it took far longer than predicted: the router did not know of work that was queued before it",
  },
];

const causeOf = (requestLines: readonly LogLine[]): string => {
  const end = requestLines.at(-1);
  if (end === undefined)
    return "no router wrote a line about this request: it did not arrive, or lines were left out";
  return causes.find(({ applies }) => applies(end, requestLines))?.text ?? "nothing out of the ordinary";
};

/** @returns The timeline of a request, from the log lines of all routers. */
export const buildTimeline = (request: string, lines: readonly LogLine[]): RequestTimeline => {
  const requestLines = lines.filter((line) => fieldOf(line, "request") === request).sort(byTime);
  return {
    request,
    steps: requestLines.map(stepOf),
    around: requestLines.length === 0 ? [] : contextLines(lines, requestLines).map(stepOf),
    cause: causeOf(requestLines),
  };
};
