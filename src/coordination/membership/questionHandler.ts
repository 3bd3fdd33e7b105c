/** Answers peers that ask for the configuration or, after a restart, for a snapshot of this router's state. */
import { create } from "@bufbuild/protobuf";
import { peerError } from "../../protocol/peers/errors.ts";
import { AnswerSchema } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { Answer, Question } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { ListedVm } from "../../protocol/types.ts";
import type { ConfigurationHistory } from "../../state/configurationHistory.ts";
import type { EngineDirectory } from "../../state/engineDirectory.ts";
import { encodeConfigurationState } from "../../state/peerConfiguration.ts";
import type { Clock } from "../clock.ts";
import { encodeEngine, hasReported, encodeReport } from "./engineReports.ts";

export interface QuestionHandlerDependencies {
  readonly history: ConfigurationHistory;
  readonly engines: EngineDirectory;
  readonly clock: Clock;
  /** The latest VM list; empty before the first one. */
  readonly vms: () => readonly ListedVm[];
}

/** @returns A function that answers a question. It throws `PeerError` for an unknown kind of question. */
export const createQuestionHandler = (
  dependencies: QuestionHandlerDependencies,
): ((question: Question) => Answer) => {
  const { history, engines, clock } = dependencies;
  let encodedVersion: number | undefined;
  let encodedConfiguration = "";

  /** Cached for each version: many routers that restart together all ask for it. */
  const fullConfiguration = (): string => {
    const version = history.current()?.version;
    if (version !== encodedVersion || encodedConfiguration === "")
      encodedConfiguration = encodeConfigurationState(history.snapshot());
    encodedVersion = version;
    return encodedConfiguration;
  };

  const configurationSince = (base: number | undefined): Answer => {
    const changes = base === undefined ? undefined : history.changesSince(base);
    const json = changes === undefined ? fullConfiguration() : encodeConfigurationState(changes);
    return create(AnswerSchema, { body: { case: "configuration", value: { json } } });
  };

  /** Empty without a configuration: routers that all lack one would otherwise exchange their engines repeatedly. */
  const snapshot = (): Answer => {
    if (history.current() === undefined) {
      return create(AnswerSchema, { body: { case: "snapshot", value: {} } });
    }
    const now = clock.monotonic();
    const reported = engines.all().filter(hasReported);
    const vms = dependencies.vms();
    const value = {
      configuration: fullConfiguration(),
      vms: vms.length === 0 ? "" : JSON.stringify(vms),
      engines: reported.map(encodeEngine),
      reports: reported.map((engine, number) => encodeReport(engine, number, now)),
    };
    return create(AnswerSchema, { body: { case: "snapshot", value } });
  };

  return ({ body }) => {
    if (body.case === "readConfiguration") return configurationSince(body.value.base);
    if (body.case === "readSnapshot") return snapshot();
    throw peerError("This kind of question is unknown.", "malformed");
  };
};
