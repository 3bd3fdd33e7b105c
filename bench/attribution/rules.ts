/** Ways to find the part that crashes replicas. Each is one view of all routers, as if updates took no time. */
import { createCrashEvidence } from "../../src/coordination/crashes/crashEvidence.ts";
import type { Suspect } from "../../src/protocol/forwarding/crashMessage.ts";
import type { DrawnRequest, HistoryEvent, Judge } from "./histories.ts";

export type JudgeFactory = () => Judge;

/** Time from reaching a threshold until the decision, and for which an answer counts, milliseconds. */
const times = { decision: 150, recentAnswer: 60_000 } as const;

const partsOf = (requests: readonly DrawnRequest[]): ReadonlySet<number> =>
  new Set(requests.flatMap(({ parts }) => parts));

/** A count for each part, cleared by each answer; the part that reaches the threshold is blocked. */
const createThresholdJudge = (threshold: number): Judge => {
  const counts = new Map<number, number>();
  const blocked = new Set<number>();
  return {
    isBlocked: ({ parts }) => parts.some((part) => blocked.has(part)),
    observe: (event) => {
      if (event.kind === "answer") {
        for (const part of event.request.parts) counts.delete(part);
        return;
      }
      for (const part of partsOf(event.inFlight)) {
        counts.set(part, (counts.get(part) ?? 0) + 1);
        if ((counts.get(part) ?? 0) >= threshold) blocked.add(part);
      }
    },
  };
};

/** The likelihood that a part crashes replicas: each crash weighs less, the more parts were in flight at it. */
const createLikelihoodJudge = (required: number): Judge => {
  const weights = new Map<number, number>();
  const answered = new Map<number, number>();
  const blocked = new Set<number>();
  return {
    isBlocked: ({ parts }) => parts.some((part) => blocked.has(part)),
    observe: (event) => {
      if (event.kind === "answer") {
        for (const part of event.request.parts) {
          weights.delete(part);
          answered.set(part, (answered.get(part) ?? 0) + 1);
        }
        return;
      }
      const parts = [...partsOf(event.inFlight)];
      if (parts.some((part) => blocked.has(part))) return;
      const priors = parts.map((part) => 1 / (1 + (answered.get(part) ?? 0)));
      const total = priors.reduce((sum, prior) => sum + prior, 0);
      for (const [index, part] of parts.entries()) {
        const weight = (weights.get(part) ?? 0) + (priors[index] ?? 0) / total;
        weights.set(part, weight);
        if (weight >= required) blocked.add(part);
      }
    },
  };
};

const suspectOf = (part: number, isProven: boolean): Suspect => ({
  kind: "part",
  fingerprint: String(part),
  hasBegun: false,
  isProven,
});

/** The product's evidence: the likeliest cause explains its crashes, and answered parts need more of them. */
const createEvidenceJudge = (): Judge => {
  const blocked = new Set<string>();
  const answeredAt = new Map<number, number>();
  const evidence = createCrashEvidence((part) => blocked.has(part));
  let decideAt = Number.POSITIVE_INFINITY;

  const decide = (at: number): void => {
    if (at < decideAt) return;
    decideAt = Number.POSITIVE_INFINITY;
    for (let cause = evidence.likeliestCause(); cause !== undefined; cause = evidence.likeliestCause()) {
      blocked.add(cause);
      for (const explained of evidence.explainedBy(cause)) blocked.delete(explained);
    }
  };

  const observeCrash = ({ at, replica, inFlight }: Extract<HistoryEvent, { kind: "crash" }>): void => {
    const suspects = [...partsOf(inFlight)].map((part) =>
      suspectOf(part, at - (answeredAt.get(part) ?? Number.NEGATIVE_INFINITY) < times.recentAnswer),
    );
    evidence.note(replica, suspects, at, true);
    if (suspects.some(({ fingerprint }) => evidence.isUndecided(fingerprint)))
      decideAt = Math.min(decideAt, at + times.decision);
  };

  return {
    isBlocked: ({ parts }, at) => {
      decide(at);
      return parts.some((part) => blocked.has(String(part)) || evidence.isUndecided(String(part)));
    },
    observe: (event) => {
      decide(event.at);
      if (event.kind === "crash") {
        observeCrash(event);
        return;
      }
      for (const part of event.request.parts) {
        answeredAt.set(part, event.at);
        evidence.clear(String(part));
        blocked.delete(String(part));
      }
    },
  };
};

/** The ways that are compared, by name. */
export const rules: Readonly<Record<string, JudgeFactory>> = {
  "threshold 2": () => createThresholdJudge(2),
  "threshold 3": () => createThresholdJudge(3),
  "threshold 5": () => createThresholdJudge(5),
  "likelihood 2": () => createLikelihoodJudge(2),
  "likelihood 3": () => createLikelihoodJudge(3),
  evidence: createEvidenceJudge,
};
