/**
 * The simplest scheduler: the engine with the fewest requests, of those that an order computed from the prompt
 * prefers. A baseline for the bench.
 */
import { hash64 } from "../../protocol/prefixLevels.ts";
import type { EngineDirectory, EngineReplica } from "../../state/engineDirectory.ts";
import { refusals } from "../requests/refusals.ts";
import type { Assignment, Work } from "./Scheduler.ts";
import { Scheduler } from "./Scheduler.ts";

const retryAfterSeconds = 1;

const servesWeights = (engine: EngineReplica, work: Work): boolean =>
  engine.load !== undefined && work.weightsVersions.includes(engine.load.weightsVersion);

const requestsAt = (engine: EngineReplica): number =>
  Math.max(engine.inFlight, (engine.load?.running ?? 0) + (engine.load?.waiting ?? 0));

/** Takes the least loaded live engine; ties go to the prompt's preferred one. */
export class LeastLoadedScheduler extends Scheduler {
  private readonly directory: EngineDirectory;

  constructor(directory: EngineDirectory) {
    super();
    this.directory = directory;
  }

  override assign(work: Work): Promise<Assignment> {
    const engine = this.choose(work);
    if (engine === undefined) return Promise.reject(refusals.noEngine(retryAfterSeconds));
    return Promise.resolve(this.assignment(engine));
  }

  override dump(): unknown {
    return { policy: "least_loaded" };
  }

  private choose(work: Work): EngineReplica | undefined {
    const prefix = work.levels.at(-2)?.key ?? work.levels.at(-1)?.key ?? "";
    const candidates = work.pools
      .flatMap((pool) => this.directory.inPool(pool))
      .filter((engine) => engine.state === "live" && !work.excluded.has(engine.id))
      .filter((engine) => servesWeights(engine, work))
      .map((engine) => ({ engine, load: requestsAt(engine), order: hash64(`${prefix}\u0000${engine.id}`) }));
    candidates.sort((left, right) => left.load - right.load || (left.order < right.order ? -1 : 1));
    return candidates[0]?.engine;
  }

  private assignment(engine: EngineReplica): Assignment {
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
