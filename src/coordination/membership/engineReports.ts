/** Engines and their reports as peers write them to each other: what rarely changes goes apart, once. */
import { create } from "@bufbuild/protobuf";
import {
  EngineReportSchema,
  EngineSchema,
} from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { Engine, EngineReport } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { EngineLoad } from "../../protocol/types.ts";
import type { EngineReplica } from "../../state/engineDirectory.ts";

/** An engine that has reported. */
export interface ReportedEngine extends EngineReplica {
  readonly load: EngineLoad;
}

export const hasReported = (engine: EngineReplica): engine is ReportedEngine => engine.load !== undefined;

const round = (value: number): number => Math.max(0, Math.round(value));

/** What rarely changes of an engine. */
export const describeEngine = ({ id, load }: ReportedEngine, number: number): Engine =>
  create(EngineSchema, {
    number,
    id,
    incarnation: load.incarnation,
    model: load.model,
    weightsVersion: load.weightsVersion,
    adapters: [...load.adapters],
    role: load.role,
  });

/** What changes all the time. */
export const reportEngine = (
  { load, loadReadAt }: ReportedEngine,
  number: number,
  now: number,
): EngineReport =>
  create(EngineReportSchema, {
    number,
    age: round(now - loadReadAt),
    running: round(load.running),
    waiting: round(load.waiting),
    pendingPromptTokens: round(load.pendingPromptTokens),
    cachedTokens: round(load.cachedTokens),
    leaving: load.leaving,
  });

/** Puts the two together again. */
export const joinReport = (engine: Engine, report: EngineReport): EngineLoad => ({
  incarnation: engine.incarnation,
  model: engine.model,
  weightsVersion: engine.weightsVersion,
  adapters: engine.adapters,
  role: engine.role,
  running: report.running,
  waiting: report.waiting,
  pendingPromptTokens: report.pendingPromptTokens,
  cachedTokens: report.cachedTokens,
  leaving: report.leaving,
});
