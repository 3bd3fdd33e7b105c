/** What became of one request, put together from the log lines of all routers. */
import type { LogLine } from "./logLines.ts";
import { fieldOf, numberOf } from "./logLines.ts";

/** One line of a story. */
export interface StoryStep {
  readonly at: string;
  readonly router: string;
  readonly text: string;
}

/** See {@link tellStory}. */
export interface RequestStory {
  readonly request: string;
  readonly steps: readonly StoryStep[];
  /** What the router or the replica believed or did, around the request. */
  readonly around: readonly StoryStep[];
  /** Why it ended as it did, as far as the lines tell. */
  readonly cause: string;
}

/** Lines before and after a request that may explain it, milliseconds. */
const around = { before: 5_000, after: 1_000 } as const;

/** More would hide what matters. */
const mostAround = 25;

/** An answer that takes so many times what was predicted says that a belief was wrong. */
const farFromPrediction = 3;

const describers: Readonly<Record<string, (line: LogLine) => string>> = {
  "requests served": (line) =>
    `answered by replica ${fieldOf(line, "replica")} after ${fieldOf(line, "milliseconds")} ms, ${fieldOf(line, "attempts")} attempts`,
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
    `turned away: replica ${fieldOf(line, "replica")} would answer after ${fieldOf(line, "predictedWait")} ms, ${fieldOf(line, "queueWait")} ms of it behind others; told to come back after ${fieldOf(line, "comeBackAfter")} ms`,
  "requests limited": (line) =>
    `counts ${fieldOf(line, "amount")} beyond the limit of ${fieldOf(line, "organisation")}; told to come back after ${fieldOf(line, "comeBackAfter")} ms`,
  "requests no_replica": (line) =>
    `no replica of ${fieldOf(line, "service")} could be chosen: ${fieldOf(line, "reason")}`,
  "requests resuming": (line) =>
    `the stream goes on at another replica after event ${fieldOf(line, "after")}`,
};

/** Events around a request that say something about a router, whatever the request was. */
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

/** The same about a replica. */
const replicaEvents: ReadonlySet<string> = new Set([
  "replicas ejected",
  "replicas draining",
  "replicas backoff_started",
  "replicas backoff_ended",
  "replicas crashed",
  "replicas unreachable",
  "replicas reachable_again",
  "router replica",
  "orders ordered",
  "orders change_failed",
]);

const kindOf = ({ part, event }: LogLine): string => `${part} ${event}`;

const shownFields = (line: LogLine): string =>
  Object.keys(line)
    .filter((name) => !["at", "part", "event", "router"].includes(name))
    .map((name) => `${name}=${fieldOf(line, name)}`)
    .join(" ");

const describeSkipped = (line: LogLine): string =>
  line.skipped === undefined ? "" : `; replicas that were not available: ${fieldOf(line, "skipped")}`;

const stepOf = (line: LogLine): StoryStep => {
  const described = describers[kindOf(line)]?.(line);
  const text =
    described === undefined ? `${kindOf(line)} ${shownFields(line)}` : described + describeSkipped(line);
  return { at: line.at, router: line.router, text };
};

const byTime = (left: LogLine, right: LogLine): number => Date.parse(left.at) - Date.parse(right.at);

/** A request's line is written at its end; its beginning follows from how long it took. */
const spanOf = (own: readonly LogLine[]) => {
  const ends = own.map(({ at }) => Date.parse(at));
  const starts = own.map((line) => Date.parse(line.at) - (numberOf(line, "milliseconds") ?? 0));
  return { from: Math.min(...starts) - around.before, until: Math.max(...ends) + around.after };
};

/** @returns The ids in a list such as `desk-0:backoff:1200 desk-1:draining`. */
const skippedIn = (line: LogLine): readonly string[] =>
  fieldOf(line, "skipped")
    .split(" ")
    .map((each) => each.split(":", 1).join());

const linesAround = (lines: readonly LogLine[], own: readonly LogLine[]): readonly LogLine[] => {
  const { from, until } = spanOf(own);
  const routers = new Set(own.map(({ router }) => router));
  const replicas = new Set(own.flatMap((line) => [fieldOf(line, "replica"), ...skippedIn(line)]));
  return lines
    .filter(({ at }) => Date.parse(at) >= from && Date.parse(at) <= until)
    .filter(
      (line) =>
        (routerEvents.has(kindOf(line)) && routers.has(line.router)) ||
        (replicaEvents.has(kindOf(line)) && replicas.has(fieldOf(line, "replica"))),
    )
    .sort(byTime)
    .slice(-mostAround);
};

const causes: readonly {
  readonly applies: (end: LogLine, own: readonly LogLine[]) => boolean;
  readonly text: string;
}[] = [
  {
    applies: (end) => kindOf(end) === "requests refused" && fieldOf(end, "reason").includes("configuration"),
    text: "the router had no fresh proof that its configuration was in force; see whether it had lost the store",
  },
  {
    applies: (_, own) => own.some((line) => kindOf(line) === "requests limited"),
    text: "its organisation had used what its limit allows; see whether the router could ask the keeper of the count",
  },
  {
    applies: (end) => fieldOf(end, "reason").startsWith("Replicas crashed"),
    text: "what it asks was in flight at three replicas that crashed; see held, trial and released of the quarantine",
  },
  {
    applies: (end) => kindOf(end) === "requests refused",
    text: "the request was not allowed by the configuration",
  },
  {
    applies: (end) => fieldOf(end, "reason").startsWith("All replicas are shutting down"),
    text: "every replica of the service drained or had asked for backoff; see which were skipped and why",
  },
  {
    applies: (_, own) => own.some((line) => fieldOf(line, "fault") === "wrong_weights"),
    text: "the replica ran other weights than the router believed",
  },
  {
    applies: (end, own) =>
      kindOf(end) !== "requests served" && own.some((line) => fieldOf(line, "progress") === "refused"),
    text: "replicas refused the request as not run: they were full or loading",
  },
  {
    applies: (end, own) =>
      kindOf(end) === "requests failed" && own.some((line) => fieldOf(line, "fault") === "cancelled"),
    text: "the router ended its attempt: the caller went away, or the time of the request was over",
  },
  {
    applies: (_, own) => own.some((line) => kindOf(line) === "requests no_replica"),
    text: "no replica of the service could take the request",
  },
  {
    applies: (end) => kindOf(end) === "requests stream_broken" || kindOf(end) === "requests failed",
    text: "the replica's connection failed or it was silent; see what is known of it below",
  },
  { applies: (end) => kindOf(end) === "requests failed_there", text: "the replica failed by itself" },
  { applies: (end) => kindOf(end) === "requests stream_left", text: "the caller went away" },
  {
    applies: (end) => (numberOf(end, "replicasAsked") ?? 0) > 0 && numberOf(end, "replicasKnown") === 0,
    text: "no owner of a replica answered in time, and the router knew its own work alone; see which are silent",
  },
  {
    applies: (end) =>
      (numberOf(end, "milliseconds") ?? 0) > farFromPrediction * (numberOf(end, "predictedWait") ?? Infinity),
    text: "it took far longer than predicted: the router did not know of work that stood before it",
  },
];

const causeOf = (own: readonly LogLine[]): string => {
  const end = own.at(-1);
  if (end === undefined)
    return "no router wrote a line about this request: it did not arrive, or lines were left out";
  return causes.find(({ applies }) => applies(end, own))?.text ?? "nothing out of the ordinary";
};

/** @returns The story of a request, from the lines of all routers. */
export const tellStory = (request: string, lines: readonly LogLine[]): RequestStory => {
  const own = lines.filter((line) => fieldOf(line, "request") === request).sort(byTime);
  return {
    request,
    steps: own.map(stepOf),
    around: own.length === 0 ? [] : linesAround(lines, own).map(stepOf),
    cause: causeOf(own),
  };
};
