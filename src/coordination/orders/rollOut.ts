/**
 * The roll-out of one deployment under one tenure of its lease: finds the engines that are not in the desired state,
 * and runs a task for each engine that may be changed now. Used by daemons/router.ts, which serves
 * OpenAI-style completions.
 */
import type { EnginePoolConfiguration } from "../../protocol/configuration/schema.ts";
import type { ModelEngine } from "../../protocol/ModelEngine.ts";
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import type { Tenure } from "../leases/types.ts";
import { reconcileEngine } from "./reconcileEngine.ts";
import { phases } from "./constants.ts";
import { desiredStateOf } from "./desiredState.ts";
import { createDrainRecords } from "./drainRecords.ts";
import { createEngineOrders } from "./engineOrders.ts";
import type { OrderTarget } from "./engineOrders.ts";
import type { EngineLoadCache } from "./engineLoadCache.ts";
import { createRetryDelays } from "./retryDelays.ts";
import { createMemberRules, listMembers, maxCompletionTime } from "./rollOutMembers.ts";
import type { RollOutMember } from "./rollOutMembers.ts";
import type { DesiredState, EngineRollOutView, RollOutPhase } from "./types.ts";

export interface RollOutDependencies {
  readonly deployment: string;
  readonly configuration: () => ConfigurationIndex | undefined;
  readonly directory: EngineDirectory;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly connect: (engine: EngineReplica) => ModelEngine;
  /** Whether the platform lists an engine as leaving. */
  readonly isListedLeaving: (engineId: string) => boolean;
  /** Interval between polls of an engine that is being changed, in milliseconds. */
  readonly interval: number;
}

/** A roll-out under one tenure; disposing it stops its tasks. */
export interface RollOut extends AsyncDisposable {
  readonly tenure: Tenure;
  /** Checks all engines once and starts the changes that are possible now. */
  readonly pass: () => Promise<void>;
  /** Whether an engine has seen the fencing number of a newer holder. */
  readonly isSuperseded: () => boolean;
  /** Whether the last pass found nothing to change and no change is running. */
  readonly isSettled: () => boolean;
  readonly view: () => readonly EngineRollOutView[];
}

const writeLog = createLogger("orders");

/** @returns The state that the current configuration requires of a pool's engines. */
const desiredOf = (dependencies: RollOutDependencies, poolName: string): DesiredState | undefined => {
  const index = dependencies.configuration();
  const pool = index?.pools.get(poolName);
  return index === undefined || pool === undefined ? undefined : desiredStateOf(index, pool);
};

const isPresent = (
  { directory, isListedLeaving }: RollOutDependencies,
  { id, url }: EngineReplica,
): boolean => directory.get(id)?.url === url && !isListedLeaving(id);

/** Creates a roll-out, which does nothing until its first pass. */
export const createRollOut = (deps: RollOutDependencies, loads: EngineLoadCache, tenure: Tenure): RollOut => {
  const { deployment, clock, directory, isListedLeaving } = deps;
  const stop = new AbortController();
  const orders = createEngineOrders({ tenure, metrics: deps.metrics, clock, signal: stop.signal });
  const delays = createRetryDelays(clock);
  const tasks = new Map<string, Promise<void>>();
  const runningPhases = new Map<string, RollOutPhase>();
  /** Engines that this or an earlier lease holder may have drained; each is recorded before its task changes it. */
  const drained = createDrainRecords(tenure);
  let outdatedCount = 0;
  const rules = createMemberRules({
    isChanging: (id) => tasks.has(id),
    isDrainedByUs: (id) => drained.has(id),
    isListedLeaving,
  });

  const targetOf = ({ engine, pool }: RollOutMember): OrderTarget => ({
    id: engine.id,
    connection: deps.connect(engine),
    longestOrder: pool.longestOrder,
  });

  /**
   * Whether no order of the previous holder can still reach an engine; engines that check fencing numbers refuse
   * such orders.
   */
  const isFenced = ({ fencing, longestOrder }: EnginePoolConfiguration): boolean =>
    fencing === "checked" || clock.monotonic() >= tenure.beganAt + longestOrder;

  const setPhase = (id: string, phase: RollOutPhase): void => {
    if (runningPhases.get(id) === phase) return;
    runningPhases.set(id, phase);
    writeLog("engine", { deployment, engine: id, phase });
  };

  const noteSuccess = (id: string): void => {
    drained.remove(id);
    delays.noteSuccess(id);
    writeLog("engine", { deployment, engine: id, phase: phases.asDesired });
  };

  const noteFailure = ({ engine }: RollOutMember): void => {
    if (loads.load(engine)?.leaving === false) drained.remove(engine.id);
    const failures = delays.noteFailure(engine.id);
    writeLog("engine_failed", { deployment, engine: engine.id, failures });
  };

  const reconcile = (index: ConfigurationIndex, member: RollOutMember): Promise<boolean> => {
    const target = targetOf(member);
    return reconcileEngine({
      clock,
      signal: stop.signal,
      readLoad: () => loads.read(member.engine, stop.signal),
      sendOrder: (action, lastLoad) => orders.send(target, action, lastLoad),
      desired: () => desiredOf(deps, member.pool.name),
      mayContinue: () => orders.maySendOrders() && isPresent(deps, member.engine),
      longestDrain: maxCompletionTime(index, deployment),
      longestOrder: member.pool.longestOrder,
      interval: deps.interval,
      onPhase: (phase) => setPhase(target.id, phase),
    });
  };

  const runTask = async (index: ConfigurationIndex, member: RollOutMember): Promise<void> => {
    const { id } = member.engine;
    try {
      const done = (await drained.add(id)) && (await reconcile(index, member));
      if (done) noteSuccess(id);
      else if (orders.maySendOrders()) noteFailure(member);
    } catch {
      if (orders.maySendOrders()) noteFailure(member);
    } finally {
      runningPhases.delete(id);
      tasks.delete(id);
    }
  };

  const start = (index: ConfigurationIndex, member: RollOutMember): void => {
    setPhase(member.engine.id, phases.waiting);
    // Started in a microtask, so that the entry is in the map before the task can end and remove it.
    const task = Promise.resolve().then(() => runTask(index, member));
    tasks.set(member.engine.id, task);
  };

  const raiseFences = async (members: readonly RollOutMember[]): Promise<void> => {
    for (const member of members) {
      if (member.pool.fencing !== "checked" || member.load === undefined) continue;
      if (tasks.has(member.engine.id) || isListedLeaving(member.engine.id)) continue;
      if (!orders.maySendOrders()) return;
      // If this fails, the next pass tries again.
      await orders.raiseFence(targetOf(member), member.load).catch(() => undefined);
    }
  };

  const startAll = (index: ConfigurationIndex, members: readonly RollOutMember[]): void => {
    const outdated = members
      .filter((member) => rules.isOutdated(index, member))
      // Engines that are already out of service come first: an earlier holder may have started loading their weights.
      .sort((left, right) => Number(rules.isServing(left)) - Number(rules.isServing(right)));
    outdatedCount = outdated.length;
    for (const member of outdated) {
      if (tasks.size >= index.configuration.limits.simultaneousLoads) return;
      const mayStart = !tasks.has(member.engine.id) && isFenced(member.pool) && !rules.isLeaving(member);
      if (mayStart && delays.mayRetry(member.engine.id) && rules.canBeSpared(member, members))
        start(index, member);
    }
  };

  const pass = async (): Promise<void> => {
    const index = deps.configuration();
    if (index === undefined || !orders.maySendOrders()) return;
    const engines = listMembers(index, deployment, directory, loads).map(({ engine }) => engine);
    await loads.refresh(engines, stop.signal);
    const members = listMembers(index, deployment, directory, loads);
    [drained, delays].forEach((state) => state.keepOnly(new Set(members.map(({ engine }) => engine.id))));
    await raiseFences(members);
    startAll(index, members);
  };

  const phaseOf = (index: ConfigurationIndex, member: RollOutMember): RollOutPhase => {
    const phase = runningPhases.get(member.engine.id);
    if (phase !== undefined) return phase;
    if (rules.isLeaving(member)) return phases.leaving;
    if (member.load === undefined) return phases.unknown;
    if (delays.failures(member.engine.id) > 0) return phases.failed;
    return rules.isOutdated(index, member) ? phases.waiting : phases.asDesired;
  };

  const viewOf = (index: ConfigurationIndex, member: RollOutMember): EngineRollOutView => ({
    engine: member.engine.id,
    pool: member.pool.name,
    phase: phaseOf(index, member),
    weightsVersion: member.load?.weightsVersion ?? null,
    failures: delays.failures(member.engine.id),
  });

  return {
    tenure,
    pass,
    isSuperseded: orders.isSuperseded,
    isSettled: () => tasks.size + outdatedCount === 0,
    view: () => {
      const index = deps.configuration();
      if (index === undefined) return [];
      return listMembers(index, deployment, directory, loads).map((member) => viewOf(index, member));
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await Promise.all(tasks.values());
    },
  };
};
