/** The engines of a deployment, judged for a roll-out. */
import type { EnginePoolConfiguration } from "../../protocol/configuration/schema.ts";
import type { EngineLoad } from "../../protocol/types.ts";
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import { mayTakeOut } from "./capacity.ts";
import { desiredStateOf, nextChange } from "./desiredState.ts";
import type { EngineSurvey } from "./engineLoadCache.ts";

/** An engine with its pool and its last report. */
export interface RollOutMember {
  readonly engine: EngineReplica;
  readonly pool: EnginePoolConfiguration;
  readonly load: EngineLoad | undefined;
}

/** What is known beside the reports. */
export interface RollOutKnowledge {
  /** Engines that are being changed now. */
  readonly isChanging: (id: string) => boolean;
  /** Engines whose drain was ordered by this holder or an earlier one. */
  readonly isDrainedByUs: (id: string) => boolean;
  /** Whether the platform lists an engine as leaving. */
  readonly isListedLeaving: (id: string) => boolean;
}

/** Lists the engines of a deployment's pools. */
export const listMembers = (
  index: ConfigurationIndex,
  deployment: string,
  directory: EngineDirectory,
  survey: EngineSurvey,
): readonly RollOutMember[] =>
  index.configuration.enginePools
    .filter((pool) => pool.deployment === deployment)
    .flatMap((pool) => directory.inPool(pool.name).map((engine) => ({ engine, pool })))
    .map(({ engine, pool }) => ({ engine, pool, load: survey.load(engine) }));

/** Longest time that an answer of a deployment may take, milliseconds. */
export const longestAnswer = ({ configuration }: ConfigurationIndex, deployment: string): number => {
  const classes = configuration.classes.filter((item) => item.deployment === deployment);
  return Math.max(0, ...classes.map((item) => item.completionDeadline));
};

/** See {@link createMemberRules}. */
export interface MemberRules {
  /** Leaves by its own word or the platform's: not to be called back. */
  readonly isLeaving: (member: RollOutMember) => boolean;
  /** Takes work, and will go on doing so. */
  readonly isServing: (member: RollOutMember) => boolean;
  /** Is not as desired, as far as it has reported. */
  readonly isBehind: (index: ConfigurationIndex, member: RollOutMember) => boolean;
  /** Whether its pool can spare it; always where it serves nothing. */
  readonly isSpare: (member: RollOutMember, members: readonly RollOutMember[]) => boolean;
}

/** Creates the rules. */
export const createMemberRules = (known: RollOutKnowledge): MemberRules => {
  const isLeaving = ({ engine, load }: RollOutMember): boolean =>
    known.isListedLeaving(engine.id) || (load?.leaving === true && !known.isDrainedByUs(engine.id));

  const isServing = ({ engine, load }: RollOutMember): boolean => {
    const takesWork = load !== undefined && !load.leaving;
    return takesWork && !known.isListedLeaving(engine.id) && !known.isChanging(engine.id);
  };

  return {
    isLeaving,
    isServing,
    isBehind: (index, { engine, pool, load }) => {
      const desired = desiredStateOf(index, pool);
      if (load === undefined || desired === undefined) return false;
      return nextChange(load, desired) !== undefined || (load.leaving && known.isDrainedByUs(engine.id));
    },
    isSpare: (member, members) => {
      if (!isServing(member)) return true;
      const pool = members.filter(
        ({ engine, pool: { name } }) => name === member.pool.name && !known.isListedLeaving(engine.id),
      );
      return mayTakeOut(pool.length, pool.filter(isServing).length);
    },
  };
};
