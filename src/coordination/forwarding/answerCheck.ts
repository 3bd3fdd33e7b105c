/** Checks that a response comes from the replica that was asked, and belongs to the request that was sent. */
import { upstreamError } from "../../protocol/errors.ts";
import { discardBody } from "../../protocol/forwarding/collectBody.ts";
import type { AnswerHead, CallerRequest, ReplicaAnswer } from "../../protocol/forwarding/types.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { refusalBodyLimits } from "./constants.ts";
import type { PlacementChoice } from "../placement/placementTypes.ts";
import type { WeightsChecks } from "./weightsChecks.ts";

export interface AnswerCheckDependencies {
  readonly replicas: ReplicaTable;
  readonly weightsChecks: Pick<WeightsChecks, "noteDenied">;
  /** Called where a replica refuses to run a request and gives no reason: refusing at once, it looks idle. */
  readonly onRefused: (replica: ReplicaState) => void;
  /** Called where the body of a refusal is longer than any that a replica needs. */
  readonly onEndless: (replica: ReplicaState) => void;
  readonly clock: Clock;
  /** Called where a response shows that a replica has left, before the registry has reported it. */
  readonly onLeaving: (replica: string) => void;
}

/** The attempt that an answer belongs to. */
type CheckedChoice = Pick<PlacementChoice, "replica" | "weightsVersion">;

/**
 * Checks a response, and records what its head reports about the replica (weights version, departure).
 *
 * @param sentAt - When the request was sent, milliseconds on the monotonic clock.
 * @param mayRepeat - Whether the request may run more than once.
 * @throws `UpstreamError` unless the response may be passed on to the caller.
 */
export type AnswerCheck = (
  answer: ReplicaAnswer,
  request: CallerRequest,
  choice: CheckedChoice,
  sentAt: number,
  mayRepeat: boolean,
) => Promise<void>;

/** Statuses by which a caller learns that its request has not run and never will, so that it may be sent again. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Creates the check of responses. */
export const createAnswerCheck = (dependencies: AnswerCheckDependencies): AnswerCheck => {
  const { replicas, weightsChecks, onLeaving, onEndless, clock } = dependencies;

  const learnFromRefusal = (
    head: AnswerHead,
    request: CallerRequest,
    { replica, weightsVersion }: CheckedChoice,
  ): void => {
    const { entry } = replica;
    if (!head.isMisdirected) return;
    if (head.replicaId !== undefined && head.replicaId !== entry.registeredAs) {
      replicas.markDraining(entry.id, { source: "address", detail: request.id });
      onLeaving(entry.id);
    } else if (request.prompt !== undefined && weightsVersion !== undefined) {
      const { model } = request.prompt;
      weightsChecks.noteDenied(entry.id, { request: request.id, model, version: weightsVersion });
    } else dependencies.onRefused(replica);
  };

  return async ({ head, body }, request, choice, sentAt, mayRepeat) => {
    if (head.echoedId !== undefined && head.echoedId !== request.id) {
      throw upstreamError("the response echoes the id of another request", "crossed", "sent");
    }
    if (head.isNotExecuted) {
      // The status alone decides; a body that is cut off does not change it.
      if (!(await discardBody(body, refusalBodyLimits, (time) => pause(clock, time))))
        onEndless(choice.replica);
      learnFromRefusal(head, request, choice);
      const fault = head.isMisdirected ? "wrong_weights" : "overloaded";
      throw upstreamError(`not run: status ${head.status}`, fault, "refused", undefined, head.status);
    }
    if (!head.isSealed || head.echoedId === undefined) {
      throw upstreamError(
        "the response lacks the seal of a replica or the id of the request",
        "malformed",
        "sent",
      );
    }
    if (!mayRepeat && notRunStatuses.has(head.status)) {
      // The replica has run it and failed: passed on, the status would promise the opposite.
      const message = `status ${head.status} of a replica that has run the request`;
      throw upstreamError(message, "failed", "sent", undefined, head.status);
    }
    if (head.isEncoded) throw upstreamError("the body of the response is encoded", "malformed", "sent");
    const model = request.prompt?.model;
    if (model !== undefined && head.weightsVersion !== undefined) {
      replicas.noteWeights(choice.replica.entry.id, model, head.weightsVersion, sentAt);
    }
  };
};
