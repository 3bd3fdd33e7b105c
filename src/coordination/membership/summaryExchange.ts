/**
 * Tells other data centres in few words how loaded this one's engines are, and names those with most room, so
 * that work can spill there. One router speaks for a data centre; whoever hears it tells its own peers.
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
import { spareEngines, summaryPatience } from "./constants.ts";
import type { ReportedEngine } from "./engineReports.ts";
import { describeEngine, hasReported, joinReport, reportEngine } from "./engineReports.ts";
import type { Membership } from "./Membership.ts";
import { PeerMessageExtension } from "./PeerMessageExtension.ts";

/** What the exchange works with. */
export interface SummaryExchangeDependencies {
  readonly engines: EngineDirectory;
  readonly membership: Membership;
  readonly clock: Clock;
}

const sum = (engines: readonly ReportedEngine[], value: (engine: ReportedEngine) => number): number =>
  engines.reduce((total, engine) => total + Math.max(0, Math.round(value(engine))), 0);

const requestsAt = ({ load }: ReportedEngine): number => load.running + load.waiting;

const byRoom = (left: ReportedEngine, right: ReportedEngine): number =>
  requestsAt(left) - requestsAt(right) || (left.id < right.id ? -1 : 1);

const groupByPool = (engines: readonly ReportedEngine[]): ReadonlyMap<string, readonly ReportedEngine[]> => {
  const pools = new Map<string, ReportedEngine[]>();
  for (const engine of engines) {
    const pool = pools.get(engine.pool) ?? [];
    pool.push(engine);
    pools.set(engine.pool, pool);
  }
  return pools;
};

/** The summaries, out and in. */
export class SummaryExchange extends PeerMessageExtension {
  private readonly parts: SummaryExchangeDependencies;
  /** When each other data centre was last heard of, milliseconds on the monotonic clock. */
  private readonly heardAt = new Map<string, number>();
  /** Heard from abroad and not yet told here. */
  private untold: Summary[] = [];

  constructor(parts: SummaryExchangeDependencies) {
    super();
    this.parts = parts;
  }

  /** Whether nothing has been heard of a data centre's engines for long. */
  readonly isUnreachable = (dataCentre: string): boolean =>
    this.parts.clock.monotonic() - (this.heardAt.get(dataCentre) ?? Number.NEGATIVE_INFINITY) >
    summaryPatience;

  override readonly addToHeartbeat = (message: PeerMessage): void => {
    message.summaries.push(...this.untold);
    this.untold = [];
  };

  override readonly addToRemoteMessage = (message: PeerMessage): void => {
    const { engines, membership, clock } = this.parts;
    const { dataCentre } = membership.self();
    const here = engines
      .all()
      .filter((engine) => engine.dataCentre === dataCentre && engine.state === "live");
    for (const [pool, members] of groupByPool(here.filter(hasReported))) {
      message.summaries.push(this.summarise(pool, members, clock.monotonic()));
    }
  };

  override readonly receive = (sender: Router, message: PeerMessage): void => {
    const { dataCentre } = this.parts.membership.self();
    const isAbroad = sender.dataCentre !== dataCentre;
    if (isAbroad) this.heardAt.set(sender.dataCentre, this.parts.clock.monotonic());
    for (const summary of message.summaries) {
      if (summary.dataCentre === dataCentre) continue;
      this.take(summary);
      if (isAbroad) this.untold.push(summary);
    }
  };

  private summarise(pool: string, members: readonly ReportedEngine[], now: number): Summary {
    const spare = [...members].sort(byRoom).slice(0, spareEngines);
    return create(SummarySchema, {
      dataCentre: this.parts.membership.self().dataCentre,
      pool,
      engines: members.length,
      running: sum(members, ({ load }) => load.running),
      waiting: sum(members, ({ load }) => load.waiting),
      pendingPromptTokens: sum(members, ({ load }) => load.pendingPromptTokens),
      spare: spare.map(describeEngine),
      spareReports: spare.map((engine, number) => reportEngine(engine, number, now)),
    });
  }

  private take(summary: Summary): void {
    const now = this.parts.clock.monotonic();
    this.heardAt.set(summary.dataCentre, now);
    for (const report of summary.spareReports) {
      const engine = summary.spare.find((item) => item.number === report.number);
      if (engine !== undefined) {
        this.parts.engines.applyLoad(engine.id, joinReport(engine, report), now - report.age);
      }
    }
  }
}
