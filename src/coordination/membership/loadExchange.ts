/**
 * Distributes engines' load reports in the data centre. The home router of an engine polls it and sends its reports
 * to the others. Any router that sees an engine leave announces it at once.
 */
import type {
  Engine,
  PeerMessage,
  Router,
} from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { EngineChange, EngineDirectory } from "../../state/engineDirectory.ts";
import type { Clock } from "../clock.ts";
import { maxReportsPerMessage } from "./constants.ts";
import type { ReportedEngine } from "./engineReports.ts";
import { encodeEngine, hasReported, decodeLoad, encodeReport } from "./engineReports.ts";
import { PeerMessageExtension } from "./PeerMessageExtension.ts";

export interface LoadExchangeDependencies {
  readonly directory: EngineDirectory;
  readonly clock: Clock;
  /** Whether this router polls the engine itself. */
  readonly isHome: (engineId: string) => boolean;
  /** Sends a heartbeat to all peers of the data centre at once. */
  readonly push: () => void;
}

/** What was last sent about an engine. */
interface SentReport {
  readonly number: number;
  /** The fields that rarely change, as peers have them; empty if they must be sent again. */
  description: string;
  /** The load as peers have it. */
  report: string;
  sentAt: number;
}

/** Engines that an incarnation of a peer has described, by their numbers. */
interface PeerEngines {
  readonly incarnation: number;
  readonly engines: Map<number, Engine>;
}

const descriptionKey = ({ load }: ReportedEngine): string =>
  [load.incarnation, load.model, load.weightsVersion, load.role, ...load.adapters].join("\u0000");

const loadKey = ({ load }: ReportedEngine): string =>
  [load.running, load.waiting, load.pendingPromptTokens, load.cachedTokens, load.leaving].join();

/** Sends the reports of engines whose home this router is, and applies those of peers. */
export class LoadExchange extends PeerMessageExtension {
  private readonly dependencies: LoadExchangeDependencies;
  private readonly sentReports = new Map<string, SentReport>();
  private readonly enginesByPeer = new Map<string, PeerEngines>();
  private readonly unannouncedLeaving = new Set<string>();
  private isApplying = false;
  private nextNumber = 0;

  constructor(dependencies: LoadExchangeDependencies) {
    super();
    this.dependencies = dependencies;
    dependencies.directory.subscribe(this.noteChange);
  }

  override readonly addToHeartbeat = (message: PeerMessage): void => {
    const now = this.dependencies.clock.monotonic();
    this.resetForeignDescriptions();
    for (const engine of this.chooseEngines()) this.addReport(message, engine, now);
    message.leavingEngines.push(...this.unannouncedLeaving);
    this.unannouncedLeaving.clear();
  };

  override readonly addToFirstMessage = (message: PeerMessage): void => {
    const now = this.dependencies.clock.monotonic();
    for (const engine of this.homeEngines()) {
      const { number } = this.sentReportOf(engine);
      message.engines.push(encodeEngine(engine, number));
      message.reports.push(encodeReport(engine, number, now));
    }
    const leaving = this.dependencies.directory.all().filter((engine) => engine.state === "leaving");
    message.leavingEngines.push(...leaving.map((engine) => engine.id));
  };

  override readonly receive = (sender: Router, message: PeerMessage): void => {
    this.isApplying = true;
    try {
      this.apply(sender.name, message);
    } finally {
      this.isApplying = false;
    }
  };

  override readonly onNewIncarnation = (): void => {
    for (const sent of this.sentReports.values()) sent.description = "";
  };

  private readonly noteChange = (change: EngineChange): void => {
    if (change.kind === "removed") this.sentReports.delete(change.engine.id);
    if (change.kind !== "state" || change.engine.state !== "leaving" || this.isApplying) return;
    this.unannouncedLeaving.add(change.engine.id);
    this.dependencies.push();
  };

  /** An engine whose home is now another router must be described again if it returns to this one. */
  private resetForeignDescriptions(): void {
    for (const [id, sent] of this.sentReports) {
      if (!this.dependencies.isHome(id)) sent.description = "";
    }
  }

  private homeEngines(): readonly ReportedEngine[] {
    return this.dependencies.directory
      .all()
      .filter(hasReported)
      .filter(({ id }) => this.dependencies.isHome(id));
  }

  /** The engines to report: changed reports first, then those that were sent longest ago. */
  private chooseEngines(): readonly ReportedEngine[] {
    const engines = this.homeEngines();
    if (engines.length <= maxReportsPerMessage) return engines;
    const rank = (engine: ReportedEngine): number => {
      const sent = this.sentReportOf(engine);
      return sent.report === loadKey(engine) ? sent.sentAt : Number.NEGATIVE_INFINITY;
    };
    return engines
      .map((engine) => ({ engine, rank: rank(engine) }))
      .sort((left, right) => (left.rank === right.rank ? 0 : left.rank - right.rank))
      .slice(0, maxReportsPerMessage)
      .map(({ engine }) => engine);
  }

  private sentReportOf({ id }: ReportedEngine): SentReport {
    const known = this.sentReports.get(id);
    if (known !== undefined) return known;
    const created: SentReport = { number: this.nextNumber, description: "", report: "", sentAt: 0 };
    this.nextNumber += 1;
    this.sentReports.set(id, created);
    return created;
  }

  private addReport(message: PeerMessage, engine: ReportedEngine, now: number): void {
    const sent = this.sentReportOf(engine);
    const description = descriptionKey(engine);
    if (sent.description !== description) message.engines.push(encodeEngine(engine, sent.number));
    message.reports.push(encodeReport(engine, sent.number, now));
    sent.description = description;
    sent.report = loadKey(engine);
    sent.sentAt = now;
  }

  private enginesOfPeer(name: string, incarnation: number): PeerEngines {
    const known = this.enginesByPeer.get(name);
    if (known?.incarnation === incarnation) return known;
    const created: PeerEngines = { incarnation, engines: new Map() };
    this.enginesByPeer.set(name, created);
    return created;
  }

  private apply(sender: string, message: PeerMessage): void {
    const { directory, clock } = this.dependencies;
    const now = clock.monotonic();
    const { engines } = this.enginesOfPeer(sender, message.incarnation);
    for (const engine of message.engines) engines.set(engine.number, engine);
    for (const report of message.reports) {
      const engine = engines.get(report.number);
      if (engine !== undefined) directory.applyLoad(engine.id, decodeLoad(engine, report), now - report.age);
    }
    for (const id of message.leavingEngines) directory.markLeaving(id);
  }
}
