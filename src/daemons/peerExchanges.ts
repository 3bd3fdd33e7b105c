/** A router's membership and what it exchanges with its peers, put together. */
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

/** What a router's peers are told of, and tell it of. */
export interface RouterPeersParts {
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

/** A router among its peers. */
export interface PeerExchanges extends AsyncDisposable {
  readonly membership: Membership;
  readonly configuration: ConfigurationExchange;
  /**
   * Lets peers connect, and asks them for what this router lacks after its start.
   *
   * @returns Where they connect: `http://IP:PORT`.
   */
  readonly listen: () => Promise<string>;
  /** Resolves, after `listen`, when this router has a configuration from whomever. */
  readonly restored: () => Promise<void>;
  /** Asks every peer known by now for what this router lacks. */
  readonly askPeers: () => Promise<void>;
  readonly applyVms: (vms: readonly ListedVm[]) => void;
  /** Whether this router asks an engine for its reports. */
  readonly isHome: (engine: EngineReplica) => boolean;
  readonly isNear: (engine: EngineReplica) => boolean;
  readonly leave: () => void;
  readonly dropConnections: () => void;
  /** Bytes of the connections that peers have to this router. */
  readonly traffic: () => Traffic;
  /** What each peer has in force, as far as it has said. */
  readonly versions: () => unknown;
  readonly dump: () => unknown;
}

/** Puts everything together; nothing is sent or received before `listen`. */
export const createPeerExchanges = (parts: RouterPeersParts): PeerExchanges => {
  const resources = createResourceStack();
  const { settings, history, engines, clock, metrics } = parts;
  const { name, dataCentre, peers } = settings;
  const seals = createSeals(settings.sharedSecret, clock.wall);
  const network = resources.use(createConnectPeerNetwork(seals));
  const directory = createPeerDirectory(name, peerTimeouts);
  const answer = createQuestionHandler({ history, engines, clock, vms: parts.lastVms });
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
    logReadAt: parts.logReadAt,
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
        restoreVms: parts.restoreVms,
        random: Math.random,
      }),
    );
    return server.url;
  };

  const isNear = (engine: EngineReplica): boolean => engine.dataCentre === dataCentre;
  return {
    membership,
    configuration,
    listen,
    restored: () => restore?.done ?? Promise.resolve(),
    askPeers: () => restore?.askAllPeers() ?? Promise.resolve(),
    applyVms: controls.applyVms,
    isHome: (engine) =>
      (isNear(engine) || summaries.isUnreachable(engine.dataCentre)) && membership.isHome(engine.id),
    isNear,
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
