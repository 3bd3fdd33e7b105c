/** Admission control by load: sheds a request before it is sent, based on the wait that placement predicts. */
import { createLogger } from "../../state/log.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import { failures } from "../forwarding/failures.ts";
import type { ForwardRun } from "../forwarding/forwardRun.ts";
import type { PlacementChoice } from "../placement/placementTypes.ts";
import type { FairAdmission, FairRefusal } from "./fairAdmission.ts";
import type { AnswerPrediction } from "./loadShedding.ts";
import { decideShedding } from "./loadShedding.ts";
import { createTypicalPrompts } from "./typicalPrompts.ts";

export interface LoadAdmissionDependencies {
  /** A request is shed if its answer is predicted to start later than this many latency objectives. */
  readonly sheddingThreshold: number;
  /** Decides instead of load shedding; `undefined` where fair shares are not enabled. */
  readonly fair: FairAdmission | undefined;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** @returns A random number from 0 to 1. */
  readonly random: () => number;
}

export interface LoadAdmission {
  /**
   * @returns Why the request is refused; `undefined` if it is to be sent. Requests without a prompt, or sent to a replica
   * already, are not refused.
   */
  readonly decide: (run: ForwardRun, choice: PlacementChoice) => FairRefusal | undefined;
  /**
   * Whether the request may wait for a prompt part before it is decided on. With fair shares, a request that is refused
   * now is told so at once.
   */
  readonly mayWait: (run: ForwardRun, choice: PlacementChoice) => boolean;
  /** Counts and logs the refused request, and throws the refusal. */
  readonly refuse: (run: ForwardRun, choice: PlacementChoice, refusal: FairRefusal) => never;
}

const writeLog = createLogger("requests");

export const createLoadAdmission = (dependencies: LoadAdmissionDependencies): LoadAdmission => {
  const { sheddingThreshold, fair, clock, metrics } = dependencies;

  const typicalPrompts = createTypicalPrompts();

  const predict = (
    { admission: { route }, deadline }: ForwardRun,
    { predictedWait: wait, queueWait }: PlacementChoice,
  ): AnswerPrediction => ({
    wait,
    queueWait,
    typicalWait: queueWait + typicalPrompts.note(route.name, wait - queueWait),
    objective: route.latencyObjective,
    remaining: deadline - clock.monotonic(),
  });

  const shed = (prediction: AnswerPrediction): FairRefusal | undefined => {
    const comeBackAfter = decideShedding(prediction, sheddingThreshold, dependencies.random());
    return comeBackAfter === undefined ? undefined : { reason: "late", promise: () => comeBackAfter };
  };

  const decide: LoadAdmission["decide"] = (run, choice) => {
    if (run.request.prompt === undefined || run.sentTo.size > 0) return undefined;
    const prediction = predict(run, choice);
    return fair === undefined ? shed(prediction) : fair.decide(run, choice, prediction);
  };

  return {
    decide,
    mayWait: (run, choice) => fair === undefined || decide(run, choice) === undefined,
    refuse: (run, choice, { reason, promise }) => {
      const { admission } = run;
      const { predictedWait, queueWait } = choice;
      const objective = admission.route.latencyObjective;
      const comeBackAfter = promise();
      metrics.count(metricNames.refusals);
      metrics.count(metricNames.turnedAway, 1, { reason });
      writeLog("turned_away", {
        request: run.request.id,
        organisation: admission.organisation?.name ?? null,
        kind: admission.route.name,
        reason,
        replica: choice.replica.entry.id,
        promptSize: run.request.prompt?.tokens ?? null,
        sizeFifth: run.sizeFifth ?? null,
        predictedWait: Math.round(predictedWait),
        queueWait: Math.round(queueWait),
        objective,
        queued: Math.round(choice.queued.total),
        organisationQueued: Math.round(choice.queued.organisation),
        capacity: Math.round(fair?.capacityOf(admission) ?? objective * sheddingThreshold),
        comeBackAfter: Math.round(comeBackAfter),
      });
      throw failures.shed(comeBackAfter);
    },
  };
};
