/** Whether what came back is a replica's answer to this very request. */
import { upstreamError } from "../../protocol/errors.ts";
import { collectBody } from "../../protocol/forwarding/collectBody.ts";
import type {
  AnswerHead,
  CallerRequest,
  EngineStatus,
  ReplicaAnswer,
} from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { isDifferentIncarnation } from "../../state/forwarding/replicaState.ts";
import type { ReplicaClient } from "../../protocol/forwarding/ReplicaClient.ts";
import type { Clock } from "../clock.ts";
import { withTimeLimit } from "../timeLimit.ts";
import { weightsCheckTimeout } from "./constants.ts";

const writeLog = createLogger("replicas");

/** What answers are checked with. */
export interface AnswerCheckDependencies {
  readonly replicas: ReplicaTable;
  readonly client: Pick<ReplicaClient, "readStatus">;
  readonly clock: Clock;
  /** This router learned of a departure before the registry told it. */
  readonly onLeaving: (replica: string) => void;
}

/** Throws `UpstreamError` unless the answer may be passed on; learns what its head tells of the replica. */
export type AnswerCheck = (answer: ReplicaAnswer, request: CallerRequest, replica: string) => Promise<void>;

/** Creates a check. */
export const createAnswerCheck = (parts: AnswerCheckDependencies): AnswerCheck => {
  const { replicas, client, clock, onLeaving } = parts;

  /** Asks an engine that runs other weights than believed for the true ones; a guess could stay wrong for good. */
  const readWeights = async (replica: string): Promise<void> => {
    const entry = replicas.get(replica)?.entry;
    if (entry === undefined) return;
    const status: EngineStatus = await withTimeLimit(clock, undefined, weightsCheckTimeout, (limit) =>
      client.readStatus(entry, limit),
    );
    if (isDifferentIncarnation(entry, status)) return;
    for (const [model, version] of status.weights) replicas.noteWeights(replica, model, version);
  };

  const learnFromRefusal = async (head: AnswerHead, replica: string): Promise<void> => {
    if (!head.isMisdirected) return;
    const name = replicas.get(replica)?.entry.registeredAs ?? replica;
    if (head.replicaId === undefined || head.replicaId === name) {
      await readWeights(replica);
      return;
    }
    replicas.markDraining(replica);
    onLeaving(replica);
  };

  return async ({ head, body }, request, replica) => {
    if (head.echoedId !== undefined && head.echoedId !== request.id) {
      throw upstreamError("the answer belongs to another request", "crossed", "sent");
    }
    if (head.isNotRun) {
      // The status says it all; a body that breaks off takes nothing back.
      await collectBody(body).catch(() => undefined);
      await learnFromRefusal(head, replica).catch((error: unknown) => {
        writeLog("status_unknown", { replica, reason: String(error) });
      });
      const fault = head.isMisdirected ? "wrong_weights" : "overloaded";
      throw upstreamError(`not run: status ${head.status}`, fault, "refused", undefined, head.status);
    }
    if (!head.isSealed || head.echoedId === undefined) {
      throw upstreamError("the answer bears no mark of a replica", "malformed", "sent");
    }
    const model = request.prompt?.model;
    if (model !== undefined && head.weightsVersion !== undefined) {
      replicas.noteWeights(replica, model, head.weightsVersion);
    }
  };
};
