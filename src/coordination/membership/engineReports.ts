/** Engines and their load in messages between peers. Fields that rarely change are sent once, apart from the load. */
import { create } from "@bufbuild/protobuf";
import {
  EngineReportSchema,
  EngineSchema,
} from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { Engine, EngineReport } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { EngineLoad } from "../../protocol/types.ts";
import type { EngineReplica } from "../../state/engineDirectory.ts";

/** An engine whose load is known. */
export interface ReportedEngine extends EngineReplica {
  readonly load: EngineLoad;
}

export const hasReported = (engine: EngineReplica): engine is ReportedEngine => engine.load !== undefined;

const round = (value: number): number => Math.max(0, Math.round(value));

/** Encodes the fields that rarely change. @param number - Stands for the engine in reports. */
export const encodeEngine = ({ id, load }: ReportedEngine, number: number): Engine =>
  create(EngineSchema, {
    number,
    id,
    incarnation: load.incarnation,
    model: load.model,
    weightsVersion: load.weightsVersion,
    adapters: [...load.adapters],
    role: load.role,
  });

/** Encodes the fields that change often. @param now - Milliseconds on the monotonic clock. */
export const encodeReport = (
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

/** Combines an engine with one of its reports. */
export const decodeLoad = (engine: Engine, report: EngineReport): EngineLoad => ({
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
