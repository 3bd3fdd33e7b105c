/** How a restarted router gets at once what its peers know: it keeps nothing itself. */
import { create } from "@bufbuild/protobuf";
import { QuestionSchema } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { Snapshot } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { PeerNetwork } from "../../protocol/peers/PeerNetwork.ts";
import { listedVmsSchema } from "../../protocol/listedVms.ts";
import type { ListedVm } from "../../protocol/types.ts";
import type { EngineDirectory } from "../../state/engineDirectory.ts";
import { createLogger } from "../../state/log.ts";
import type { Clock } from "../clock.ts";
import { pause } from "../clock.ts";
import { withTimeLimit } from "../timeLimit.ts";
import { joinReport } from "./engineReports.ts";

/** What a restore works with. */
export interface RestoreDependencies {
  readonly network: PeerNetwork;
  readonly engines: EngineDirectory;
  readonly clock: Clock;
  /** Peers of this data centre, then those of others, as known by now. */
  readonly peerUrls: () => readonly (readonly string[])[];
  /** True once this router has a configuration, from whomever. */
  readonly isDone: () => boolean;
  readonly adoptConfiguration: (json: string, from: string) => void;
  readonly restoreVms: (vms: readonly ListedVm[]) => void;
  /** A number from 0 to below 1. */
  readonly random: () => number;
}

/** Runs until it is done or disposed. */
export interface Restore extends AsyncDisposable {
  /** Resolves when a peer has given a configuration, or there is one already. */
  readonly done: Promise<void>;
  /** Asks every peer known by now, and resolves when it is done or none has helped. */
  readonly askAllPeers: () => Promise<void>;
}

const askTimeout = 1_000;
const longestPause = 1_000;
const shortestPause = 100;

const writeLog = createLogger("restore");

const parseVms = (json: string): readonly ListedVm[] => {
  if (json === "") return [];
  try {
    return listedVmsSchema.parse(JSON.parse(json));
  } catch {
    return [];
  }
};

/** Routers that restart together ask different peers first. */
const shuffle = (urls: readonly string[], random: () => number): readonly string[] =>
  urls
    .map((url) => ({ url, order: random() }))
    .sort((left, right) => left.order - right.order)
    .map(({ url }) => url);

/** Starts asking. */
export const startRestore = (parts: RestoreDependencies): Restore => {
  const { network, engines, clock } = parts;
  const stop = new AbortController();

  const take = (snapshot: Snapshot, from: string): void => {
    const vms = parseVms(snapshot.vms);
    if (vms.length > 0) parts.restoreVms(vms);
    const byNumber = new Map(snapshot.engines.map((engine) => [engine.number, engine]));
    const now = clock.monotonic();
    for (const report of snapshot.reports) {
      const engine = byNumber.get(report.number);
      if (engine !== undefined) engines.restoreLoad(engine.id, joinReport(engine, report), now - report.age);
    }
    parts.adoptConfiguration(snapshot.configuration, from);
    writeLog("snapshot", { from, vms: vms.length, engines: snapshot.engines.length });
  };

  const ask = async (url: string): Promise<void> => {
    const question = create(QuestionSchema, { body: { case: "readSnapshot", value: {} } });
    try {
      const { body } = await withTimeLimit(clock, stop.signal, askTimeout, (limit) =>
        network.ask(url, question, limit),
      );
      if (body.case === "snapshot" && !parts.isDone()) take(body.value, url);
    } catch {
      // The next one is asked; a peer that is gone is no news to a process that has just started.
    }
  };

  const askAll = async (): Promise<void> => {
    const urls = parts.peerUrls().flatMap((group) => shuffle(group, parts.random));
    for (const url of urls) {
      if (parts.isDone() || stop.signal.aborted) return;
      await ask(url);
    }
  };

  const run = async (): Promise<void> => {
    let longest = shortestPause;
    while (!parts.isDone() && !stop.signal.aborted) {
      await askAll();
      if (parts.isDone()) return;
      await pause(clock, longest * (0.5 + parts.random() / 2), stop.signal);
      longest = Math.min(longestPause, longest * 2);
    }
  };

  const done = run();
  return {
    done,
    askAllPeers: askAll,
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await done;
    },
  };
};
