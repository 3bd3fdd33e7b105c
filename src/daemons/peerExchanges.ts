/** Wires up a router's membership and the exchanges with its peers: loads, configuration and summaries. */
import { LoadExchange } from "../coordination/membership/loadExchange.ts";
import { ConfigurationExchange } from "../coordination/membership/configurationExchange.ts";
import { peerTimeouts } from "../coordination/membership/constants.ts";
import type { Membership } from "../coordination/membership/Membership.ts";
import { createQuestionHandler } from "../coordination/membership/questionHandler.ts";
import { createPeerMembership } from "../coordination/membership/peerMembership.ts";
import { startRestore } from "../coordination/membership/restore.ts";
import type { Restore } from "../coordination/membership/restore.ts";
import { SummaryExchange } from "../coordination/membership/summaryExchange.ts";
import type { Clock } from "../coordination/clock.ts";
import { createSeals } from "../protocol/peers/seals.ts";
import { createResourceStack } from "../protocol/resourceStack.ts";
import type { ListedVm } from "../protocol/types.ts";
import type { ConfigurationHistory } from "../state/configurationHistory.ts";
import type { EngineDirectory, EngineReplica } from "../state/engineDirectory.ts";
import type { Metrics } from "../state/Metrics.ts";
import { createPeerDirectory } from "../state/peerDirectory.ts";
import { createConnectPeerNetwork } from "../transport/connectPeerNetwork.ts";
import type { PeerServer, Traffic } from "../transport/peerServer.ts";
import { startPeerServer } from "../transport/peerServer.ts";
import type { RouterSettings } from "./routerSettings.ts";

/** The state that a router exchanges with its peers. */
export interface PeerExchangesDependencies {
  readonly settings: RouterSettings;
  readonly history: ConfigurationHistory;
  readonly engines: EngineDirectory;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly lastVms: () => readonly ListedVm[];
  readonly restoreVms: (vms: readonly ListedVm[]) => void;
  /** When the log was last read, milliseconds on the monotonic clock. */
  readonly logReadAt: () => number | undefined;
}

/** A router's membership and exchanges, until it is disposed of. */
export interface PeerExchanges extends AsyncDisposable {
  readonly membership: Membership;
  readonly configuration: ConfigurationExchange;
  /**
   * Lets peers connect, and asks them for the configuration, VM list and engine reports after a restart.
   *
   * @returns The URL that they connect to: `http://IP:PORT`.
   */
  readonly listen: () => Promise<string>;
  /** Resolves, after `listen`, when this router has a configuration from any source. */
  readonly restored: () => Promise<void>;
  /** Asks every peer that is known now for the missing state. */
  readonly askPeers: () => Promise<void>;
  readonly applyVms: (vms: readonly ListedVm[]) => void;
  /** Whether this router is the one that polls an engine for its reports. */
  readonly isHome: (engine: EngineReplica) => boolean;
  /** Whether an engine is in this router's data centre. */
  readonly isLocal: (engine: EngineReplica) => boolean;
  readonly leave: () => void;
  readonly dropConnections: () => void;
  /** Bytes received and sent on the connections that peers have to this router. */
  readonly traffic: () => Traffic;
  /** The configuration version that each peer last reported. */
  readonly versions: () => unknown;
  readonly dump: () => unknown;
}

/** Creates the exchanges; nothing is sent or received before `listen`. */
export const createPeerExchanges = (dependencies: PeerExchangesDependencies): PeerExchanges => {
  const resources = createResourceStack();
  const { settings, history, engines, clock, metrics } = dependencies;
  const { name, dataCentre, peers } = settings;
  const seals = createSeals(settings.sharedSecret, clock.wall);
  const network = resources.use(createConnectPeerNetwork(seals));
  const directory = createPeerDirectory(name, peerTimeouts);
  const answer = createQuestionHandler({ history, engines, clock, vms: dependencies.lastVms });
  const controls = resources.use(
    createPeerMembership({
      name,
      dataCentre,
      incarnation: clock.wall(),
      network,
      directory,
      clock,
      metrics,
      random: Math.random,
      answer,
    }),
  );
  const { membership, push } = controls;
  const summaries = new SummaryExchange({ engines, membership, clock });
  const configuration = new ConfigurationExchange({
    history,
    membership,
    directory,
    network,
    clock,
    random: Math.random,
    push,
    logReadAt: dependencies.logReadAt,
  });
  controls.addExtension(
    new LoadExchange({ directory: engines, clock, isHome: membership.isHome.bind(membership), push }),
  );
  controls.addExtension(configuration);
  controls.addExtension(summaries);

  const peerUrls = (): readonly (readonly string[])[] => {
    const here = directory.all().filter((peer) => peer.dataCentre === dataCentre);
    const elsewhere = directory.all().filter((peer) => peer.dataCentre !== dataCentre);
    return [[...here.map(({ url }) => url), ...settings.seedPeers], elsewhere.map(({ url }) => url)];
  };
  let server: PeerServer | undefined;
  let restore: Restore | undefined;
  const listen = async (): Promise<string> => {
    server = resources.use(await startPeerServer({ seals, handler: controls.handler, metrics, ...peers }));
    controls.start(server.url);
    restore = resources.use(
      startRestore({
        network,
        engines,
        clock,
        peerUrls,
        isDone: () => history.current() !== undefined,
        adoptConfiguration: (json, from) => configuration.adopt(json, from),
        restoreVms: dependencies.restoreVms,
        random: Math.random,
      }),
    );
    return server.url;
  };

  const isLocal = (engine: EngineReplica): boolean => engine.dataCentre === dataCentre;
  return {
    membership,
    configuration,
    listen,
    restored: () => restore?.done ?? Promise.resolve(),
    askPeers: () => restore?.askAllPeers() ?? Promise.resolve(),
    applyVms: controls.applyVms,
    isHome: (engine) =>
      (isLocal(engine) || summaries.isUnreachable(engine.dataCentre)) && membership.isHome(engine.id),
    isLocal,
    leave: controls.leave,
    traffic: () => server?.traffic() ?? { received: 0, sent: 0 },
    dropConnections: () => server?.dropConnections(),
    versions: () =>
      directory.all().map((peer) => ({
        router: peer.name,
        dataCentre: peer.dataCentre,
        state: peer.state,
        configurationVersion: peer.configuration?.version ?? null,
      })),
    dump: controls.dump,
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};
