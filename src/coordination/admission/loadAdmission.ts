/** Admission control by load: sheds a request before it is sent, based on the wait that placement predicts. */
import { createLogger } from "../../state/log.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { failures } from "../forwarding/failures.ts";
import type { ForwardRun } from "../forwarding/forwardRun.ts";
import type { PlacementChoice } from "../placement/placementTypes.ts";
import type { AnswerPrediction } from "./loadShedding.ts";
import { decideShedding } from "./loadShedding.ts";

export interface LoadAdmissionDependencies {
  /** A request is shed if its answer is predicted to start later than this many latency objectives. */
  readonly sheddingThreshold: number;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** @returns A random number from 0 to 1. */
  readonly random: () => number;
}

export interface LoadAdmission {
  /**
   * @returns Milliseconds after which the caller should retry, if the request is shed because it would be answered too
   * late; `undefined` if it is to be sent. Requests without a prompt, or sent to a replica already, are not shed.
   */
  readonly comeBackAfter: (run: ForwardRun, choice: PlacementChoice) => number | undefined;
  /** Counts and logs the shed request, and throws the refusal. @param comeBackAfter - Retry-After, milliseconds. */
  readonly refuse: (run: ForwardRun, choice: PlacementChoice, comeBackAfter: number) => never;
}

const writeLog = createLogger("requests");

export const createLoadAdmission = (dependencies: LoadAdmissionDependencies): LoadAdmission => {
  const { clock, metrics } = dependencies;

  const predictionOf = ({ admission, deadline }: ForwardRun, choice: PlacementChoice): AnswerPrediction => ({
    wait: choice.predictedWait,
    queueWait: choice.queueWait,
    objective: admission.route.latencyObjective,
    remaining: deadline - clock.monotonic(),
  });

  return {
    comeBackAfter: (run, choice) => {
      if (run.request.prompt === undefined || run.sentTo.size > 0) return undefined;
      return decideShedding(predictionOf(run, choice), dependencies.sheddingThreshold, dependencies.random());
    },
    refuse: (run, choice, comeBackAfter) => {
      const { wait, queueWait, objective } = predictionOf(run, choice);
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
