/**
 * Sends other data centres a summary of the load of this one's engines, with the engines that have most spare
 * capacity, so that work can overflow to them. One router represents its data centre to another one; the router
 * that receives a summary forwards it to the peers of its own data centre.
 */
import { create } from "@bufbuild/protobuf";
import { SummarySchema } from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type {
  PeerMessage,
  Router,
  Summary,
} from "../../protocol/peers/generated/pomelocleat/peers/v1/peers_pb.ts";
import type { EngineDirectory } from "../../state/engineDirectory.ts";
import type { Clock } from "../clock.ts";
import { maxSpareEngines, summaryTimeout } from "./constants.ts";
import type { ReportedEngine } from "./engineReports.ts";
import { encodeEngine, hasReported, decodeLoad, encodeReport } from "./engineReports.ts";
import type { Membership } from "./Membership.ts";
import { PeerMessageExtension } from "./PeerMessageExtension.ts";
import { groupBy } from "../../state/groupBy.ts";

export interface SummaryExchangeDependencies {
  readonly engines: EngineDirectory;
  readonly membership: Membership;
  readonly clock: Clock;
}

const sum = (engines: readonly ReportedEngine[], value: (engine: ReportedEngine) => number): number =>
  engines.reduce((total, engine) => total + Math.max(0, Math.round(value(engine))), 0);

const requestCount = ({ load }: ReportedEngine): number => load.running + load.waiting;

const byRequestCount = (left: ReportedEngine, right: ReportedEngine): number =>
  requestCount(left) - requestCount(right) || (left.id < right.id ? -1 : 1);

/** Sends this data centre's summaries, and applies and forwards those of others. */
export class SummaryExchange extends PeerMessageExtension {
  private readonly dependencies: SummaryExchangeDependencies;
  /** When something was last received from or about each other data centre, milliseconds on the monotonic clock. */
  private readonly lastReceivedAt = new Map<string, number>();
  /** Received from other data centres, and not yet forwarded to the peers of this one. */
  private unforwarded: Summary[] = [];

  constructor(dependencies: SummaryExchangeDependencies) {
    super();
    this.dependencies = dependencies;
  }

  /** Whether neither a message nor a summary of a data centre has arrived within `summaryTimeout`. */
  readonly isUnreachable = (dataCentre: string): boolean =>
    this.dependencies.clock.monotonic() - (this.lastReceivedAt.get(dataCentre) ?? Number.NEGATIVE_INFINITY) >
    summaryTimeout;

  override readonly addToHeartbeat = (message: PeerMessage): void => {
    message.summaries.push(...this.unforwarded);
    this.unforwarded = [];
  };

  override readonly addToRemoteMessage = (message: PeerMessage): void => {
    const { engines, membership, clock } = this.dependencies;
    const { dataCentre } = membership.self();
    const here = engines
      .all()
      .filter((engine) => engine.dataCentre === dataCentre && engine.state === "live");
    for (const [pool, members] of groupBy(here.filter(hasReported), ({ pool }) => pool)) {
      message.summaries.push(this.summarise(pool, members, clock.monotonic()));
    }
  };

  override readonly receive = (sender: Router, message: PeerMessage): void => {
    const { dataCentre } = this.dependencies.membership.self();
    const isFromOtherDataCentre = sender.dataCentre !== dataCentre;
    if (isFromOtherDataCentre)
      this.lastReceivedAt.set(sender.dataCentre, this.dependencies.clock.monotonic());
    for (const summary of message.summaries) {
      if (summary.dataCentre === dataCentre) continue;
      this.applySummary(summary);
      if (isFromOtherDataCentre) this.unforwarded.push(summary);
    }
  };

  private summarise(pool: string, members: readonly ReportedEngine[], now: number): Summary {
    const spare = [...members].sort(byRequestCount).slice(0, maxSpareEngines);
    return create(SummarySchema, {
      dataCentre: this.dependencies.membership.self().dataCentre,
      pool,
      engines: members.length,
      running: sum(members, ({ load }) => load.running),
      waiting: sum(members, ({ load }) => load.waiting),
      pendingPromptTokens: sum(members, ({ load }) => load.pendingPromptTokens),
      spare: spare.map(encodeEngine),
      spareReports: spare.map((engine, number) => encodeReport(engine, number, now)),
    });
  }

  private applySummary(summary: Summary): void {
    const now = this.dependencies.clock.monotonic();
    this.lastReceivedAt.set(summary.dataCentre, now);
    for (const report of summary.spareReports) {
      const engine = summary.spare.find((item) => item.number === report.number);
      if (engine !== undefined) {
        this.dependencies.engines.applyLoad(engine.id, decodeLoad(engine, report), now - report.age);
      }
    }
  }
}
