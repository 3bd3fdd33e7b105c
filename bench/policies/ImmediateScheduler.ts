import { refusals } from "../../src/coordination/requests/refusals.ts";
import { Scheduler } from "../../src/coordination/scheduling/Scheduler.ts";
import type { Assignment, Work } from "../../src/coordination/scheduling/Scheduler.ts";
import type { EngineDirectory, EngineReplica } from "../../src/state/engineDirectory.ts";

const retryAfterSeconds = 1;

/** A baseline that chooses at once, admits everything and never waits. */
export abstract class ImmediateScheduler extends Scheduler {
  protected readonly directory: EngineDirectory;

  constructor(directory: EngineDirectory) {
    super();
    this.directory = directory;
  }

  override assign(work: Work): Promise<Assignment> {
    const candidates = this.listCandidates(work);
    const engine = candidates.length === 0 ? undefined : this.pick(work, candidates);
    if (engine === undefined) return Promise.reject(refusals.noEngine(retryAfterSeconds));
    return Promise.resolve(this.createAssignment(engine));
  }

  override dump(): unknown {
    return { policy: this.constructor.name };
  }

  /** @param candidates - Live engines that serve the work; at least one. */
  protected abstract pick(work: Work, candidates: readonly EngineReplica[]): EngineReplica | undefined;

  private listCandidates(work: Work): readonly EngineReplica[] {
    return work.pools
      .flatMap((pool) => this.directory.inPool(pool))
      .filter(({ id, state }) => state === "live" && !work.excluded.has(id))
      .filter(({ load }) => load !== undefined && work.weightsVersions.includes(load.weightsVersion));
  }

  private createAssignment(engine: EngineReplica): Assignment {
    this.directory.addInFlight(engine.id, 1);
    let released = false;
    return {
      engine,
      incarnation: engine.load?.incarnation,
      weightsVersion: engine.load?.weightsVersion ?? "",
      expectedCachedTokens: 0,
      markFirstToken: () => undefined,
      release: () => {
        if (released) return;
        released = true;
        this.directory.addInFlight(engine.id, -1);
      },
    };
  }
}

/** The deepest level that other prompts share: the whole prompt's own level is left out. */
export const sharedPrefixOf = ({ levels }: Work): string => levels.at(-2)?.key ?? levels.at(-1)?.key ?? "";

/** The requests that a router believes to be at an engine. */
export const requestsAt = ({ inFlight, load }: EngineReplica): number =>
  Math.max(inFlight, (load?.running ?? 0) + (load?.waiting ?? 0));
