/** Lists the engines of a deployment and decides what a roll-out may do with each. */
import type { EnginePoolConfiguration } from "../../protocol/configuration/schema.ts";
import type { EngineLoad } from "../../protocol/types.ts";
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import { mayTakeOutOfService } from "./capacity.ts";
import { desiredStateOf, nextChange } from "./desiredState.ts";
import type { EngineLoadCache } from "./engineLoadCache.ts";

/** An engine with its pool and its last load report. */
export interface RollOutMember {
  readonly engine: EngineReplica;
  readonly pool: EnginePoolConfiguration;
  readonly load: EngineLoad | undefined;
}

export interface MemberRulesDependencies {
  /** Whether an engine is currently being changed. */
  readonly isChanging: (id: string) => boolean;
  /** Whether an engine was drained by this lease holder or an earlier one. */
  readonly isDrainedByUs: (id: string) => boolean;
  /** Whether the platform lists an engine as leaving. */
  readonly isListedLeaving: (id: string) => boolean;
}

/** @returns The engines of all pools of a deployment. */
export const listMembers = (
  index: ConfigurationIndex,
  deployment: string,
  directory: EngineDirectory,
  loadCache: EngineLoadCache,
): readonly RollOutMember[] =>
  index.configuration.enginePools
    .filter((pool) => pool.deployment === deployment)
    .flatMap((pool) => directory.inPool(pool.name).map((engine) => ({ engine, pool })))
    .map(({ engine, pool }) => ({ engine, pool, load: loadCache.load(engine) }));

/** @returns The longest completion deadline of a deployment, in milliseconds. */
export const maxCompletionTime = ({ configuration }: ConfigurationIndex, deployment: string): number => {
  const classes = configuration.classes.filter((item) => item.deployment === deployment);
  return Math.max(0, ...classes.map((item) => item.completionDeadline));
};

/** Decisions about single engines of a deployment. */
export interface MemberRules {
  /** Whether the engine leaves by its own report or the platform's list, and so must not be admitted again. */
  readonly isLeaving: (member: RollOutMember) => boolean;
  /** Whether the engine accepts requests and is not about to stop doing so. */
  readonly isServing: (member: RollOutMember) => boolean;
  /**
   * Whether the last report shows that the engine must be changed, or admitted after a drain; false without a
   * report.
   */
  readonly isOutdated: (index: ConfigurationIndex, member: RollOutMember) => boolean;
  /** Whether its pool can spare the engine; always true if it is not serving. */
  readonly canBeSpared: (member: RollOutMember, members: readonly RollOutMember[]) => boolean;
}

/** Creates the rules of one roll-out. */
export const createMemberRules = (dependencies: MemberRulesDependencies): MemberRules => {
  const isLeaving = ({ engine, load }: RollOutMember): boolean =>
    dependencies.isListedLeaving(engine.id) ||
    (load?.leaving === true && !dependencies.isDrainedByUs(engine.id));

  const isServing = ({ engine, load }: RollOutMember): boolean => {
    const takesWork = load !== undefined && !load.leaving;
    return takesWork && !dependencies.isListedLeaving(engine.id) && !dependencies.isChanging(engine.id);
  };

  return {
    isLeaving,
    isServing,
    isOutdated: (index, { engine, pool, load }) => {
      const desired = desiredStateOf(index, pool);
      if (load === undefined || desired === undefined) return false;
      return (
        nextChange(load, desired) !== undefined || (load.leaving && dependencies.isDrainedByUs(engine.id))
      );
    },
    canBeSpared: (member, members) => {
      if (!isServing(member)) return true;
      const pool = members.filter(
        ({ engine, pool: { name } }) => name === member.pool.name && !dependencies.isListedLeaving(engine.id),
      );
      return mayTakeOutOfService(pool.length, pool.filter(isServing).length);
    },
  };
};
