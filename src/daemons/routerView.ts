/** Everything by which a router keeps what it believes up to date: the log, the VM list, engines and peers. */
import type { Clock } from "../coordination/clock.ts";
import type { ConfigurationFollower } from "../coordination/configurationFollower.ts";
import { startConfigurationFollower } from "../coordination/configurationFollower.ts";
import type { EngineMonitor } from "../coordination/engineMonitor.ts";
import { startEngineMonitor } from "../coordination/engineMonitor.ts";
import type { LogService } from "../protocol/LogService.ts";
import type { ModelEngine } from "../protocol/ModelEngine.ts";
import { createResourceStack } from "../protocol/resourceStack.ts";
import type { ListedVm } from "../protocol/types.ts";
import type { VmList } from "../protocol/VmList.ts";
import type { ConfigurationHistory } from "../state/configurationHistory.ts";
import { createConfigurationHistory } from "../state/configurationHistory.ts";
import type { EngineDirectory, EngineReplica } from "../state/engineDirectory.ts";
import { createEngineDirectory } from "../state/engineDirectory.ts";
import type { Metrics } from "../state/Metrics.ts";
import type { ServiceDirectory } from "../state/serviceDirectory.ts";
import { createServiceDirectory } from "../state/serviceDirectory.ts";
import type { PeerExchanges } from "./peerExchanges.ts";
import { createPeerExchanges } from "./peerExchanges.ts";
import type { RouterSettings } from "./routerSettings.ts";

const retryInterval = 200;

/** What beliefs are kept up to date with. */
export interface RouterBeliefsParts {
  readonly settings: RouterSettings;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogService;
  readonly vmList: VmList;
  readonly connect: (engine: EngineReplica) => ModelEngine;
}

/** See the module. */
export interface RouterBeliefs extends AsyncDisposable {
  readonly history: ConfigurationHistory;
  readonly follower: ConfigurationFollower;
  readonly directory: EngineDirectory;
  readonly serviceDirectory: ServiceDirectory;
  readonly peers: PeerExchanges;
  /** Whether the last VM list said that a VM leaves. */
  readonly isListedLeaving: (id: string) => boolean;
  /**
   * This router's even part of limits that hold over all routers of all data centres. The last list stays in
   * force while the platform can't be asked, so that the parts of a cut-off data centre do not grow.
   */
  readonly routerShare: () => number;
  /**
   * Lets peers connect, and waits until this router has tried to learn what it needs to serve.
   *
   * @returns Where peers connect.
   */
  readonly start: () => Promise<string>;
}

/** Starts to follow the log and the VM list. */
export const createRouterBeliefs = (parts: RouterBeliefsParts): RouterBeliefs => {
  const { settings, clock, metrics, log, vmList, connect } = parts;
  const resources = createResourceStack();
  const history = createConfigurationHistory();
  const directory = createEngineDirectory();
  const serviceDirectory = createServiceDirectory();

  const peers: PeerExchanges = resources.use(
    createPeerExchanges({
      settings,
      history,
      engines: directory,
      clock,
      metrics,
      lastVms: () => monitor.lastVms(),
      restoreVms: (vms) => monitor.restoreVms(vms),
      logReadAt: () => follower.logReadAt(),
    }),
  );

  const follower: ConfigurationFollower = resources.use(
    startConfigurationFollower({
      log,
      history,
      longPoll: settings.configurationLongPoll,
      retryInterval,
      clock,
      readMode: peers.configuration.logReadMode,
      onVersion: peers.configuration.noteLogVersion,
    }),
  );

  const monitor: EngineMonitor = resources.use(
    startEngineMonitor({
      directory,
      vmList,
      clock,
      connect,
      onVms: (vms) => {
        serviceDirectory.applyVms(vms);
        peers.applyVms(vms);
      },
      isHome: peers.isHome,
      isLocal: peers.isNear,
      vmListInterval: settings.vmListInterval,
      loadInterval: settings.loadInterval,
      loadTimeout: settings.loadTimeout,
    }),
  );

  let leavingOf: { readonly vms: readonly ListedVm[]; readonly ids: ReadonlySet<string> } | undefined;
  const isListedLeaving = (id: string): boolean => {
    const vms = monitor.lastVms();
    if (leavingOf?.vms !== vms) {
      leavingOf = { vms, ids: new Set(vms.filter(({ state }) => state === "leaving").map((vm) => vm.id)) };
    }
    return leavingOf.ids.has(id);
  };

  let routersOf: { readonly vms: readonly ListedVm[]; readonly count: number } | undefined;
  const routerShare = (): number => {
    const vms = monitor.lastVms();
    if (routersOf?.vms !== vms) {
      routersOf = { vms, count: vms.filter(({ role }) => role === "router").length };
    }
    return 1 / Math.max(1, routersOf.count, peers.membership.liveMembers().length);
  };

  const start = async (): Promise<string> => {
    const url = await peers.listen();
    await Promise.race([Promise.all([follower.started, monitor.started]), peers.restored()]);
    if (history.current() === undefined) await peers.askPeers();
    await monitor.waitForFirstReports();
    return url;
  };

  return {
    history,
    follower,
    directory,
    serviceDirectory,
    peers,
    isListedLeaving,
    routerShare,
    start,
    [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
  };
};
