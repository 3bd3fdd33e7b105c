/** Answers to peers that lack something: the configuration, or, after a restart, everything. */
import { create } from "@bufbuild/protobuf";
import { peerError } from "../../protocol/peers/errors.ts";
import { AnswerSchema } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { Answer, Question } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { ListedVm } from "../../protocol/types.ts";
import type { ConfigurationHistory } from "../../state/configurationHistory.ts";
import type { EngineDirectory } from "../../state/engineDirectory.ts";
import { encodeConfigurationState } from "../../state/peerConfiguration.ts";
import type { Clock } from "../clock.ts";
import { describeEngine, hasReported, reportEngine } from "./engineReports.ts";

/** What answers are made from. */
export interface QuestionHandlerDependencies {
  readonly history: ConfigurationHistory;
  readonly engines: EngineDirectory;
  readonly clock: Clock;
  /** The last VM list that was read. */
  readonly vms: () => readonly ListedVm[];
}

/** @returns A function that answers; it throws `PeerError` for what it does not know. */
export const createQuestionHandler = (
  parts: QuestionHandlerDependencies,
): ((question: Question) => Answer) => {
  const { history, engines, clock } = parts;
  let wholeVersion: number | undefined;
  let whole = "";

  /** A herd that restarts asks for the same many times. */
  const wholeConfiguration = (): string => {
    const version = history.current()?.version;
    if (version !== wholeVersion || whole === "") whole = encodeConfigurationState(history.snapshot());
    wholeVersion = version;
    return whole;
  };

  const configurationSince = (base: number | undefined): Answer => {
    const changes = base === undefined ? undefined : history.changesSince(base);
    const json = changes === undefined ? wholeConfiguration() : encodeConfigurationState(changes);
    return create(AnswerSchema, { body: { case: "configuration", value: { json } } });
  };

  /** Empty without a configuration: a herd with none would else send each other its engines over and over. */
  const snapshot = (): Answer => {
    if (history.current() === undefined) {
      return create(AnswerSchema, { body: { case: "snapshot", value: {} } });
    }
    const now = clock.monotonic();
    const reported = engines.all().filter(hasReported);
    const vms = parts.vms();
    const value = {
      configuration: wholeConfiguration(),
      vms: vms.length === 0 ? "" : JSON.stringify(vms),
      engines: reported.map(describeEngine),
      reports: reported.map((engine, number) => reportEngine(engine, number, now)),
    };
    return create(AnswerSchema, { body: { case: "snapshot", value } });
  };

  return ({ body }) => {
    if (body.case === "readConfiguration") return configurationSince(body.value.base);
    if (body.case === "readSnapshot") return snapshot();
    throw peerError("The question is unknown.", "malformed");
  };
};
