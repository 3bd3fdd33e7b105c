/** Turns a request away before it is sent, by what placement predicts for it. */
import { createLogger } from "../../state/log.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { failures } from "./failures.ts";
import type { ForwardRun } from "./forwardRun.ts";
import type { PlacementChoice } from "./placementTypes.ts";
import type { Outlook } from "./loadShedding.ts";
import { turnAway } from "./loadShedding.ts";

/** What it works with. */
export interface LoadAdmissionParts {
  /** Latency objectives within which an answer is predicted to begin, or the request is turned away. */
  readonly latenessTurnedAway: number;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** A number from 0 to 1. */
  readonly random: () => number;
}

/** See {@link createLoadAdmission}. */
export interface LoadAdmission {
  /**
   * @returns After how many milliseconds a request that was not sent anywhere yet is to come back, since it would be
   * answered too late; nothing if it is to be sent.
   */
  readonly comeBackAfter: (run: ForwardRun, choice: PlacementChoice) => number | undefined;
  /** Throws the refusal. */
  readonly refuse: (run: ForwardRun, choice: PlacementChoice, comeBackAfter: number) => never;
}

const writeLog = createLogger("requests");

/** Creates the admission of requests by load. */
export const createLoadAdmission = (parts: LoadAdmissionParts): LoadAdmission => {
  const { clock, metrics } = parts;

  const outlookOf = ({ admission, deadline }: ForwardRun, choice: PlacementChoice): Outlook => ({
    wait: choice.predictedWait,
    queueWait: choice.queueWait,
    objective: admission.route.latencyObjective,
    left: deadline - clock.monotonic(),
  });

  return {
    comeBackAfter: (run, choice) => {
      if (run.request.prompt === undefined || run.sentTo.size > 0) return undefined;
      return turnAway(outlookOf(run, choice), parts.latenessTurnedAway, parts.random());
    },
    refuse: (run, choice, comeBackAfter) => {
      const { wait, queueWait, objective } = outlookOf(run, choice);
      metrics.count(metricNames.refusals);
      writeLog("turned_away", {
        request: run.request.id,
        replica: choice.replica.entry.id,
        predictedWait: Math.round(wait),
        queueWait: Math.round(queueWait),
        objective,
        comeBackAfter: Math.round(comeBackAfter),
      });
      throw failures.shed(comeBackAfter);
    },
  };
};
