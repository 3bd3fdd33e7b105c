/**
 * One deployment's roll-out under one tenure: finds the engines that are not as desired, and runs a task for
 * each that may be brought over now.
 */
import type { EnginePoolConfiguration } from "../../protocol/configuration/schema.ts";
import type { ModelEngine } from "../../protocol/ModelEngine.ts";
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import { createLogger } from "../../state/log.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import type { Tenure } from "../leases/types.ts";
import { bringOver } from "./reconcileEngine.ts";
import { phases } from "./constants.ts";
import { desiredStateOf } from "./desiredState.ts";
import { createDrainNotes } from "./drainRecords.ts";
import { createEngineOrders } from "./engineOrders.ts";
import type { OrderTarget } from "./engineOrders.ts";
import type { EngineSurvey } from "./engineLoadCache.ts";
import { createRetryDelays } from "./retryDelays.ts";
import { createMemberRules, listMembers, longestAnswer } from "./rollOutMembers.ts";
import type { RollOutMember } from "./rollOutMembers.ts";
import type { DesiredState, EngineRollOutView, RollOutPhase } from "./types.ts";

/** What roll-outs work with. */
export interface RollOutParts {
  readonly deployment: string;
  readonly configuration: () => ConfigurationIndex | undefined;
  readonly directory: EngineDirectory;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly connect: (engine: EngineReplica) => ModelEngine;
  /** Whether the platform lists an engine as leaving. */
  readonly isListedLeaving: (engineId: string) => boolean;
  /** Between two looks at an engine that is being changed, milliseconds. */
  readonly interval: number;
}

/** A roll-out under one tenure; disposing of it ends its tasks. */
export interface RollOut extends AsyncDisposable {
  readonly tenure: Tenure;
  /** Looks at all engines once, and starts what can be started. */
  readonly pass: () => Promise<void>;
  readonly isSuperseded: () => boolean;
  /** True if the last pass found nothing to change, and nothing is being changed. */
  readonly isSettled: () => boolean;
  readonly view: () => readonly EngineRollOutView[];
}

const writeLog = createLogger("orders");

/** What the configuration in force wants of a pool's engines. */
const desiredOf = (parts: RollOutParts, poolName: string): DesiredState | undefined => {
  const index = parts.configuration();
  const pool = index?.pools.get(poolName);
  return index === undefined || pool === undefined ? undefined : desiredStateOf(index, pool);
};

const isPresent = ({ directory, isListedLeaving }: RollOutParts, { id, url }: EngineReplica): boolean =>
  directory.get(id)?.url === url && !isListedLeaving(id);

/** Begins a roll-out. */
export const createRollOut = (parts: RollOutParts, survey: EngineSurvey, tenure: Tenure): RollOut => {
  const { deployment, clock, directory, isListedLeaving } = parts;
  const stop = new AbortController();
  const orders = createEngineOrders({ tenure, metrics: parts.metrics, clock, signal: stop.signal });
  const delays = createRetryDelays(clock);
  const tasks = new Map<string, Promise<void>>();
  const running = new Map<string, RollOutPhase>();
  const drained = createDrainNotes(tenure);
  let behindCount = 0;
  const rules = createMemberRules({
    isChanging: (id) => tasks.has(id),
    isDrainedByUs: (id) => drained.has(id),
    isListedLeaving,
  });

  const targetOf = ({ engine, pool }: RollOutMember): OrderTarget => ({
    id: engine.id,
    connection: parts.connect(engine),
    longestOrder: pool.longestOrder,
  });

  /** Orders to engines that don't check may still come from the last holder for so long. */
  const isWaitedOut = ({ fencing, longestOrder }: EnginePoolConfiguration): boolean =>
    fencing === "checked" || clock.monotonic() >= tenure.beganAt + longestOrder;

  const setPhase = (id: string, phase: RollOutPhase): void => {
    if (running.get(id) === phase) return;
    running.set(id, phase);
    writeLog("engine", { deployment, engine: id, phase });
  };

  const noteSuccess = (id: string): void => {
    drained.remove(id);
    delays.noteSuccess(id);
    writeLog("engine", { deployment, engine: id, phase: phases.asDesired });
  };

  const noteFailure = ({ engine }: RollOutMember): void => {
    if (survey.load(engine)?.leaving === false) drained.remove(engine.id);
    const failures = delays.noteFailure(engine.id);
    writeLog("engine_failed", { deployment, engine: engine.id, failures });
  };

  const change = (index: ConfigurationIndex, member: RollOutMember): Promise<boolean> => {
    const target = targetOf(member);
    return bringOver({
      clock,
      signal: stop.signal,
      readLoad: () => survey.read(member.engine, stop.signal),
      giveOrder: (action, seen) => orders.give(target, action, seen),
      desired: () => desiredOf(parts, member.pool.name),
      mayGoOn: () => orders.mayOrder() && isPresent(parts, member.engine),
      longestDrain: longestAnswer(index, deployment),
      longestOrder: member.pool.longestOrder,
      interval: parts.interval,
      onPhase: (phase) => setPhase(target.id, phase),
    });
  };

  const runTask = async (index: ConfigurationIndex, member: RollOutMember): Promise<void> => {
    const { id } = member.engine;
    try {
      const done = (await drained.add(id)) && (await change(index, member));
      if (done) noteSuccess(id);
      else if (orders.mayOrder()) noteFailure(member);
    } catch {
      if (orders.mayOrder()) noteFailure(member);
    } finally {
      running.delete(id);
      tasks.delete(id);
    }
  };

  const start = (index: ConfigurationIndex, member: RollOutMember): void => {
    setPhase(member.engine.id, phases.waiting);
    // Begins a turn later, so that the entry is there before the task can end.
    const task = Promise.resolve().then(() => runTask(index, member));
    tasks.set(member.engine.id, task);
  };

  const raiseFences = async (members: readonly RollOutMember[]): Promise<void> => {
    for (const member of members) {
      if (member.pool.fencing !== "checked" || member.load === undefined) continue;
      if (tasks.has(member.engine.id) || isListedLeaving(member.engine.id)) continue;
      if (!orders.mayOrder()) return;
      // An engine that fails this is tried again in the next pass.
      await orders.raiseFence(targetOf(member), member.load).catch(() => undefined);
    }
  };

  const startAll = (index: ConfigurationIndex, members: readonly RollOutMember[]): void => {
    const behind = members
      .filter((member) => rules.isBehind(index, member))
      // Engines that are out of service already come first: an earlier holder may have begun their loads.
      .sort((left, right) => Number(rules.isServing(left)) - Number(rules.isServing(right)));
    behindCount = behind.length;
    for (const member of behind) {
      if (tasks.size >= index.configuration.limits.simultaneousLoads) return;
      const mayStart = !tasks.has(member.engine.id) && isWaitedOut(member.pool) && !rules.isLeaving(member);
      if (mayStart && delays.mayTry(member.engine.id) && rules.isSpare(member, members)) start(index, member);
    }
  };

  const pass = async (): Promise<void> => {
    const index = parts.configuration();
    if (index === undefined || !orders.mayOrder()) return;
    const engines = listMembers(index, deployment, directory, survey).map(({ engine }) => engine);
    await survey.refresh(engines, stop.signal);
    const members = listMembers(index, deployment, directory, survey);
    [drained, delays].forEach((kept) => kept.keepOnly(new Set(members.map(({ engine }) => engine.id))));
    await raiseFences(members);
    startAll(index, members);
  };

  const phaseOf = (index: ConfigurationIndex, member: RollOutMember): RollOutPhase => {
    const phase = running.get(member.engine.id);
    if (phase !== undefined) return phase;
    if (rules.isLeaving(member)) return phases.leaving;
    if (member.load === undefined) return phases.unknown;
    if (delays.failures(member.engine.id) > 0) return phases.failed;
    return rules.isBehind(index, member) ? phases.waiting : phases.asDesired;
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
    isSettled: () => tasks.size + behindCount === 0,
    view: () => {
      const index = parts.configuration();
      if (index === undefined) return [];
      return listMembers(index, deployment, directory, survey).map((member) => viewOf(index, member));
    },
    [Symbol.asyncDispose]: async () => {
      stop.abort();
      await Promise.all(tasks.values());
    },
  };
};
