/** Applies fair shares, urgency and the return schedule to one router's requests. */
import type { Clock } from "../clock.ts";
import type { ForwardRun } from "../forwarding/forwardRun.ts";
import type { Admission } from "../forwarding/types.ts";
import type { PlacementChoice } from "../placement/placementTypes.ts";
import type { QueueView, RefusalReason } from "./fairShares.ts";
import { decideAdmission, queueLimitsOf, timeToDrain } from "./fairShares.ts";
import type { AnswerPrediction } from "./loadShedding.ts";
import { createRequestClasses } from "./requestClasses.ts";
import { createReturnSchedule } from "./returnSchedule.ts";
import type { PriorityRule } from "./urgency.ts";

export interface FairAdmissionDependencies {
  /** A request is refused if its answer is predicted to start later than this many latency objectives. */
  readonly sheddingThreshold: number;
  readonly priorityOf: PriorityRule;
  /** @returns The key under which a request's organisation is counted. */
  readonly organisationKey: (admission: Admission) => number;
  /** @returns The number of a service's replicas for each router that serves. */
  readonly replicasPerRouter: (service: string) => number;
  readonly clock: Clock;
  /** @returns A random number from 0 to 1. */
  readonly random: () => number;
}

/** A request that is refused. */
export interface FairRefusal {
  readonly reason: RefusalReason;
  /** Promises the caller a time to return. @returns Milliseconds. */
  readonly promise: () => number;
}

export interface FairAdmission {
  /** @returns Why a request with a prompt is refused; `undefined` if it is admitted. */
  readonly decide: (
    run: ForwardRun,
    choice: PlacementChoice,
    prediction: AnswerPrediction,
  ) => FairRefusal | undefined;
  /** @returns The queue up to which prompts are admitted, milliseconds. */
  readonly capacityOf: (admission: Admission) => number;
  /**
   * @returns The longest wait up to which long prompts are packed onto busy replicas, milliseconds. Beyond it, a packed
   * prompt would be refused at a contended replica while another one has room.
   */
  readonly packingLimit: (admission: Admission) => number;
}

/** Creates the fair admission of one router. */
export const createFairAdmission = (dependencies: FairAdmissionDependencies): FairAdmission => {
  const { sheddingThreshold, priorityOf, organisationKey, clock, random } = dependencies;
  const classes = createRequestClasses(clock);
  const schedule = createReturnSchedule(clock);

  const urgentObjectiveOf = (admission: Admission): number =>
    classes.urgentObjective(admission.service.name, priorityOf(admission));

  const limitsOf = (admission: Admission) =>
    queueLimitsOf(admission.route.latencyObjective, sheddingThreshold, urgentObjectiveOf(admission));

  return {
    decide: ({ request, admission }, { queued }, prediction) => {
      const service = admission.service.name;
      const priority = priorityOf(admission);
      const organisation = organisationKey(admission);
      classes.note(service, priority, admission.route.latencyObjective);
      // Ids of parts are the callers' own, so they identify a prompt only within its organisation.
      const prompt = `${organisation} ${request.prompt?.parts.at(-1)?.id ?? request.id}`;
      const view: QueueView = {
        prediction,
        queued,
        typicalComputing: prediction.typicalWait - prediction.queueWait,
        urgentObjective: classes.urgentObjective(service, priority),
        isReserveClosed: schedule.isReserveClosed({
          service,
          prompt,
          route: admission.route.name,
          organisation,
          priority,
          timeout: request.timeout,
        }),
        isEarly: schedule.timeToPromise(prompt) > 0,
      };
      const reason = decideAdmission(view, sheddingThreshold);
      if (reason === undefined) return undefined;
      const promise = (): number =>
        schedule.promise(
          {
            service,
            prompt,
            organisation,
            priority,
            isForShare: reason === "share",
            timeToDrain: timeToDrain(view, sheddingThreshold, reason),
            computingTime: queued.own / Math.max(Number.EPSILON, dependencies.replicasPerRouter(service)),
            remaining: prediction.remaining,
          },
          random(),
        );
      return { reason, promise };
    },
    capacityOf: (admission) => limitsOf(admission).capacity,
    packingLimit: (admission) => limitsOf(admission).tolerated,
  };
};
