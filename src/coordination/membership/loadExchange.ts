/**
 * Spreads engines' load reports in the data centre: the home router of an engine asks it and tells the others.
 * An engine that is seen to leave, by whomever, is pushed at once.
 */
import type {
  Engine,
  PeerMessage,
  Router,
} from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { EngineChange, EngineDirectory } from "../../state/engineDirectory.ts";
import type { Clock } from "../clock.ts";
import { maximumReports } from "./constants.ts";
import type { ReportedEngine } from "./engineReports.ts";
import { describeEngine, hasReported, joinReport, reportEngine } from "./engineReports.ts";
import { PeerMessageExtension } from "./PeerMessageExtension.ts";

/** What the exchange works with. */
export interface LoadExchangeDependencies {
  readonly directory: EngineDirectory;
  readonly clock: Clock;
  /** Whether this router asks the engine itself. */
  readonly isHome: (engineId: string) => boolean;
  readonly push: () => void;
}

interface Told {
  readonly number: number;
  /** The description that peers have. */
  description: string;
  /** The report that peers have. */
  report: string;
  toldAt: number;
}

interface Heard {
  readonly incarnation: number;
  readonly engines: Map<number, Engine>;
}

const descriptionOf = ({ load }: ReportedEngine): string =>
  [load.incarnation, load.model, load.weightsVersion, load.role, ...load.adapters].join("\u0000");

const reportOf = ({ load }: ReportedEngine): string =>
  [load.running, load.waiting, load.pendingPromptTokens, load.cachedTokens, load.leaving].join();

/** The reports of the engines that this router is home of, out and in. */
export class LoadExchange extends PeerMessageExtension {
  private readonly parts: LoadExchangeDependencies;
  private readonly told = new Map<string, Told>();
  private readonly heard = new Map<string, Heard>();
  private readonly leaving = new Set<string>();
  private applying = false;
  private nextNumber = 0;

  constructor(parts: LoadExchangeDependencies) {
    super();
    this.parts = parts;
    parts.directory.subscribe(this.noteChange);
  }

  override readonly addToHeartbeat = (message: PeerMessage): void => {
    const now = this.parts.clock.monotonic();
    this.forgetStrangers();
    for (const engine of this.chooseEngines()) this.tell(message, engine, now);
    message.leavingEngines.push(...this.leaving);
    this.leaving.clear();
  };

  override readonly addToFirstMessage = (message: PeerMessage): void => {
    const now = this.parts.clock.monotonic();
    for (const engine of this.homeEngines()) {
      const { number } = this.toldOf(engine);
      message.engines.push(describeEngine(engine, number));
      message.reports.push(reportEngine(engine, number, now));
    }
    const gone = this.parts.directory.all().filter((engine) => engine.state === "leaving");
    message.leavingEngines.push(...gone.map((engine) => engine.id));
  };

  override readonly receive = (sender: Router, message: PeerMessage): void => {
    this.applying = true;
    try {
      this.apply(sender.name, message);
    } finally {
      this.applying = false;
    }
  };

  override readonly onNewIncarnation = (): void => {
    for (const told of this.told.values()) told.description = "";
  };

  private readonly noteChange = (change: EngineChange): void => {
    if (change.kind === "removed") this.told.delete(change.engine.id);
    if (change.kind !== "state" || change.engine.state !== "leaving" || this.applying) return;
    this.leaving.add(change.engine.id);
    this.parts.push();
  };

  /** An engine that another router is home of now has to be described again if it comes back here. */
  private forgetStrangers(): void {
    for (const [id, told] of this.told) {
      if (!this.parts.isHome(id)) told.description = "";
    }
  }

  private homeEngines(): readonly ReportedEngine[] {
    return this.parts.directory
      .all()
      .filter(hasReported)
      .filter(({ id }) => this.parts.isHome(id));
  }

  /** Changed reports first, then those that were told longest ago. */
  private chooseEngines(): readonly ReportedEngine[] {
    const engines = this.homeEngines();
    if (engines.length <= maximumReports) return engines;
    const rank = (engine: ReportedEngine): number => {
      const told = this.toldOf(engine);
      return told.report === reportOf(engine) ? told.toldAt : Number.NEGATIVE_INFINITY;
    };
    return engines
      .map((engine) => ({ engine, rank: rank(engine) }))
      .sort((left, right) => (left.rank === right.rank ? 0 : left.rank - right.rank))
      .slice(0, maximumReports)
      .map(({ engine }) => engine);
  }

  private toldOf({ id }: ReportedEngine): Told {
    const known = this.told.get(id);
    if (known !== undefined) return known;
    const made: Told = { number: this.nextNumber, description: "", report: "", toldAt: 0 };
    this.nextNumber += 1;
    this.told.set(id, made);
    return made;
  }

  private tell(message: PeerMessage, engine: ReportedEngine, now: number): void {
    const told = this.toldOf(engine);
    const description = descriptionOf(engine);
    if (told.description !== description) message.engines.push(describeEngine(engine, told.number));
    message.reports.push(reportEngine(engine, told.number, now));
    told.description = description;
    told.report = reportOf(engine);
    told.toldAt = now;
  }

  private heardFrom(name: string, incarnation: number): Heard {
    const known = this.heard.get(name);
    if (known?.incarnation === incarnation) return known;
    const made: Heard = { incarnation, engines: new Map() };
    this.heard.set(name, made);
    return made;
  }

  private apply(sender: string, message: PeerMessage): void {
    const { directory, clock } = this.parts;
    const now = clock.monotonic();
    const { engines } = this.heardFrom(sender, message.incarnation);
    for (const engine of message.engines) engines.set(engine.number, engine);
    for (const report of message.reports) {
      const engine = engines.get(report.number);
      if (engine !== undefined) directory.applyLoad(engine.id, joinReport(engine, report), now - report.age);
    }
    for (const id of message.leavingEngines) directory.markLeaving(id);
  }
}
