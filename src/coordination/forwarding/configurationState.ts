/**
 * The configuration in force and the weights wanted, as the operator published them, and how fresh that is.
 *
 * Freshness is proved by reads that were sent at a moment and found nothing newer, by this router or, for the
 * same version, by a peer. It is counted on this process's monotonic clock.
 */
import type { ToldTarget } from "../../protocol/forwarding/peerMessage.ts";
import type { OperatorRecord, FeedPage } from "../../protocol/forwarding/types.ts";
import { createLogger } from "../../state/log.ts";
import { createRouteTable } from "../../state/forwarding/routeTable.ts";
import type { RouteTable } from "../../state/forwarding/routeTable.ts";
import type { Clock } from "../clock.ts";

/** Weights that the operator wants of a model. */
export interface WantedWeights {
  readonly version: number;
  /** When this router learned of it, milliseconds on the monotonic clock. */
  readonly learnedAt: number;
}

/** Versions of one model that may still be running; older ones are forgotten. */
const mostVersions = 16;

/** See {@link createConfigurationState}. */
export interface ConfigurationState {
  readonly table: () => RouteTable | undefined;
  /** @returns The newest weights wanted of a model. */
  readonly wantedWeights: (model: string) => WantedWeights | undefined;
  /**
   * Each version has a time of its own, however soon the next one was named.
   *
   * @returns The first weights wanted that are newer than a version.
   */
  readonly supersededBy: (model: string, version: number) => WantedWeights | undefined;
  /** @returns The newest weights wanted, with how long this router has known of them. */
  readonly wantedAges: () => readonly ToldTarget[];
  /** A peer has known for some time that a version is wanted; this router may have started since. */
  readonly noteWantedAge: (model: string, version: number, age: number) => void;
  /** Milliseconds since a moment at which nothing newer had been published. */
  readonly age: () => number;
  /** When nothing newer had been published, milliseconds on the monotonic clock. */
  readonly provenAt: () => number;
  readonly apply: (page: FeedPage<OperatorRecord>) => void;
  /** A read of this router's own that was sent at a moment found nothing newer. */
  readonly confirm: (at: number) => void;
  /** Milliseconds since such a read was sent: a router that is cut off from the store alone lives on peers' proofs. */
  readonly readAge: () => number;
  /** Nothing newer than what is known had been published at a moment, as another router has proved. */
  readonly prove: (at: number) => void;
  /** A peer had proof of this version at a moment. */
  readonly confirmVersion: (version: number, at: number) => void;
}

/** Versions that peers are told of: those that engines may still be behind. */
const toldVersions = 3;

const writeLog = createLogger("configuration");

/** Creates a state without a configuration. */
export const createConfigurationState = (clock: Clock): ConfigurationState => {
  /** By model, in rising order. */
  const wanted = new Map<string, readonly WantedWeights[]>();
  let table: RouteTable | undefined;
  let provenAt = Number.NEGATIVE_INFINITY;
  let readAt = Number.NEGATIVE_INFINITY;

  const takeRecord = (record: OperatorRecord): void => {
    if (record.kind === "configuration") {
      const { configuration } = record;
      // Versions never step back, whatever an answer that came late says.
      if (table !== undefined && configuration.version <= table.configuration.version) return;
      table = createRouteTable(configuration);
      const { version, routes, services } = configuration;
      writeLog("applied", { version, routes: routes.length, services: services.length });
      return;
    }
    const { model, version } = record.target;
    const versions = wanted.get(model) ?? [];
    if (version <= (versions.at(-1)?.version ?? 0)) return;
    const learned = { version, learnedAt: clock.monotonic() };
    wanted.set(model, [...versions, learned].slice(-mostVersions));
    writeLog("weights_wanted", { model, version });
  };

  const prove = (at: number): void => {
    provenAt = Math.max(provenAt, at);
  };

  return {
    table: () => table,
    wantedWeights: (model) => wanted.get(model)?.at(-1),
    supersededBy: (model, version) => wanted.get(model)?.find((each) => each.version > version),
    wantedAges: () =>
      [...wanted].flatMap(([model, versions]) =>
        versions.slice(-toldVersions).map(({ version, learnedAt }) => ({
          model,
          version,
          age: Math.max(0, Math.round(clock.monotonic() - learnedAt)),
        })),
      ),
    noteWantedAge: (model, version, age) => {
      const learnedAt = clock.monotonic() - age;
      const versions = wanted.get(model)?.map((each) => {
        const isEarlier = each.version === version && learnedAt < each.learnedAt;
        return isEarlier ? { version, learnedAt } : each;
      });
      if (versions !== undefined) wanted.set(model, versions);
    },
    age: () => clock.monotonic() - provenAt,
    provenAt: () => provenAt,
    apply: ({ records }) => {
      for (const { value } of records) if (value !== undefined) takeRecord(value);
    },
    confirm: (at) => {
      readAt = Math.max(readAt, at);
      prove(at);
    },
    prove,
    readAge: () => clock.monotonic() - readAt,
    confirmVersion: (version, at) => {
      if (version === table?.configuration.version) prove(at);
    },
  };
};
