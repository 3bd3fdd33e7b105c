/** Whether what came back is a replica's answer to this very request. */
import { upstreamError } from "../../protocol/errors.ts";
import type { AnswerHead, CallerRequest, ReplicaAnswer } from "../../protocol/forwarding/types.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ConfigurationState } from "./configurationState.ts";

/** What answers are checked with. */
export interface AnswerCheckParts {
  readonly replicas: ReplicaTable;
  readonly configuration: ConfigurationState;
  /** This router learned of a departure before the registry told it. */
  readonly onLeaving: (replica: string) => void;
}

/** @returns The whole of a body; throws `UpstreamError` where it breaks off. */
export const collect = async (body: AsyncIterable<Buffer>): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks);
};

/** Throws `UpstreamError` unless the answer may be passed on; learns what its head tells of the replica. */
export type AnswerCheck = (answer: ReplicaAnswer, request: CallerRequest, replica: string) => Promise<void>;

/** Creates a check. */
export const createAnswerCheck = ({ replicas, configuration, onLeaving }: AnswerCheckParts): AnswerCheck => {
  const learnFromRefusal = (head: AnswerHead, request: CallerRequest, replica: string): void => {
    if (!head.isMisdirected) return;
    if (head.replicaId !== undefined && head.replicaId !== replica) {
      replicas.markLeaving(replica);
      onLeaving(replica);
      return;
    }
    // It runs other weights than believed: the newest that were named, in all likelihood.
    const model = request.prompt?.model;
    const wanted = model === undefined ? undefined : configuration.wantedWeights(model);
    if (model !== undefined && wanted !== undefined) replicas.noteWeights(replica, model, wanted.version);
  };

  return async ({ head, body }, request, replica) => {
    if (head.echoedId !== undefined && head.echoedId !== request.id) {
      throw upstreamError("the answer belongs to another request", "crossed", "sent");
    }
    if (head.isNotRun) {
      learnFromRefusal(head, request, replica);
      // The status says it all; a body that breaks off takes nothing back.
      await collect(body).catch(() => undefined);
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
