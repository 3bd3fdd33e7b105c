/** Restores the state of a restarted router from a snapshot of a peer, since it stores nothing itself. */
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
import { decodeLoad } from "./engineReports.ts";

export interface RestoreDependencies {
  readonly network: PeerNetwork;
  readonly engines: EngineDirectory;
  readonly clock: Clock;
  /** URLs of the peers known so far, in groups that are asked one after another: this data centre's first. */
  readonly peerUrls: () => readonly (readonly string[])[];
  /** True once this router has a configuration, whether from a peer or from the log. */
  readonly isDone: () => boolean;
  readonly adoptConfiguration: (json: string, from: string) => void;
  readonly restoreVms: (vms: readonly ListedVm[]) => void;
  /** A number from 0 to below 1, for the order of peers and the jitter of retries. */
  readonly random: () => number;
}

/** A restore that runs until there is a configuration or it is disposed. */
export interface Restore extends AsyncDisposable {
  /** Resolves when there is a configuration, or after disposal. */
  readonly done: Promise<void>;
  /** Asks the known peers one after another until there is a configuration or all have been asked. */
  readonly askAllPeers: () => Promise<void>;
}

const askTimeout = 1_000;
const maxRetryDelay = 1_000;
const initialRetryDelay = 100;

const writeLog = createLogger("restore");

const parseVms = (json: string): readonly ListedVm[] => {
  if (json === "") return [];
  try {
    return listedVmsSchema.parse(JSON.parse(json));
  } catch {
    return [];
  }
};

/** Shuffles, so that routers that restart together ask different peers first. */
const shuffle = (urls: readonly string[], random: () => number): readonly string[] =>
  urls
    .map((url) => ({ url, order: random() }))
    .sort((left, right) => left.order - right.order)
    .map(({ url }) => url);

/** Starts asking peers, with pauses that grow while none has a configuration. */
export const startRestore = (dependencies: RestoreDependencies): Restore => {
  const { network, engines, clock } = dependencies;
  const stop = new AbortController();

  const applySnapshot = (snapshot: Snapshot, from: string): void => {
    const vms = parseVms(snapshot.vms);
    if (vms.length > 0) dependencies.restoreVms(vms);
    const byNumber = new Map(snapshot.engines.map((engine) => [engine.number, engine]));
    const now = clock.monotonic();
    for (const report of snapshot.reports) {
      const engine = byNumber.get(report.number);
      if (engine !== undefined) engines.restoreLoad(engine.id, decodeLoad(engine, report), now - report.age);
    }
    dependencies.adoptConfiguration(snapshot.configuration, from);
    writeLog("snapshot", { from, vms: vms.length, engines: snapshot.engines.length });
  };

  const askPeer = async (url: string): Promise<void> => {
    const question = create(QuestionSchema, { body: { case: "readSnapshot", value: {} } });
    try {
      const { body } = await withTimeLimit(clock, stop.signal, askTimeout, (limit) =>
        network.ask(url, question, limit),
      );
      if (body.case === "snapshot" && !dependencies.isDone()) applySnapshot(body.value, url);
    } catch {
      // The next peer is asked. It is not logged, since peers that are gone are common just after a start.
    }
  };

  const askAllPeers = async (): Promise<void> => {
    const urls = dependencies.peerUrls().flatMap((group) => shuffle(group, dependencies.random));
    for (const url of urls) {
      if (dependencies.isDone() || stop.signal.aborted) return;
      await askPeer(url);
    }
  };

  const run = async (): Promise<void> => {
    let maxDelay = initialRetryDelay;
    while (!dependencies.isDone() && !stop.signal.aborted) {
      await askAllPeers();
      if (dependencies.isDone()) return;
      await pause(clock, maxDelay * (0.5 + dependencies.random() / 2), stop.signal);
      maxDelay = Math.min(maxRetryDelay, maxDelay * 2);
    }
  };

  const done = run();
  return {
    done,
    askAllPeers,
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await done;
    },
  };
};
