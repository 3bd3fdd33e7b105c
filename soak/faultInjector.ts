/** What may go wrong in a soak run: one thing or several at a time, each undone after a while. */
import { setTimeout as sleep } from "node:timers/promises";
import type { System, SystemProcess } from "../demo/processes.ts";
import type { Random } from "../bench/model/random.ts";
import { setFaults } from "../tests/processes/standInControl.ts";
import type { Violation } from "./types.ts";

const shortest = 200;
const longest = 2_500;
const fewestRouters = 2;
/** Far longer than any request of the load and any idle connection. */
const longestShutdown = 30_000;

/** Disturbs a system. */
export interface FaultInjector {
  /** Does one thing, chosen at random, and undoes it. */
  readonly injectFault: () => Promise<void>;
  /** Graceful shutdowns that did not end, or not well. Resolves when all have been waited for. */
  readonly findBadShutdowns: () => Promise<readonly Violation[]>;
  /** How often each thing was done. */
  readonly counts: ReadonlyMap<string, number>;
}

/** Makes a disturber. */
export const createFaultInjector = (system: System, random: Random): FaultInjector => {
  const counts = new Map<string, number>();
  const busy = new Set<string>();
  const shutdowns: Promise<Violation | undefined>[] = [];
  let started = 0;

  const watchShutdown = async ({ name, process }: SystemProcess): Promise<Violation | undefined> => {
    const limit = new AbortController();
    const tooLong = sleep(longestShutdown, undefined, { signal: limit.signal, ref: false });
    const end = await Promise.race([process.ended, tooLong.catch(() => undefined)]);
    limit.abort();
    if (end?.code === 0) return undefined;
    const how = end === undefined ? "did not end" : `ended with ${String(end.code ?? end.signal)}`;
    return { promise: "a graceful shutdown ends", detail: `${name} ${how}` };
  };

  const below = (limit: number): number => Math.min(limit - 1, Math.floor(random.uniform() * limit));
  const pick = <T>(items: readonly T[]): T | undefined => items[below(items.length)];
  const wait = (): Promise<void> => sleep(shortest + random.uniform() * (longest - shortest));
  const ofKind = (kind: SystemProcess["kind"]): readonly SystemProcess[] =>
    system.processes().filter((item) => item.kind === kind && !busy.has(item.name));

  const replaceRouter = async (signal: "SIGKILL" | "SIGTERM"): Promise<void> => {
    const old = pick(ofKind("router"));
    if (old === undefined || ofKind("router").length <= fewestRouters) return;
    busy.add(old.name);
    started += 1;
    const replacement = system.startRouter(`router-again-${started}`, old.dataCentre);
    old.process.kill(signal);
    if (signal === "SIGTERM") shutdowns.push(watchShutdown(old));
    await replacement;
  };

  const freeze = async (kind: SystemProcess["kind"]): Promise<void> => {
    const frozen = pick(ofKind(kind));
    if (frozen === undefined || ofKind(kind).length < fewestRouters) return;
    busy.add(frozen.name);
    frozen.process.kill("SIGSTOP");
    await wait();
    frozen.process.kill("SIGCONT");
    busy.delete(frozen.name);
  };

  /** Sets faults of one stand-in and takes them back. */
  const disturbStandIn = async (
    kind: SystemProcess["kind"],
    faults: Readonly<Record<string, unknown>>,
    undo: Readonly<Record<string, unknown>> = {},
  ): Promise<void> => {
    const standIn = pick(ofKind(kind));
    if (standIn === undefined) return;
    await setFaults(standIn.process.url, faults);
    await wait();
    await setFaults(standIn.process.url, undo);
  };

  const crashEngine = async (): Promise<void> => {
    const engine = pick(ofKind("engine"));
    if (engine !== undefined) await fetch(`${engine.process.url}/stand-in/crash`, { method: "POST" });
  };

  const things: Readonly<Record<string, () => Promise<void>>> = {
    killRouter: () => replaceRouter("SIGKILL"),
    endRouter: () => replaceRouter("SIGTERM"),
    freezeRouter: () => freeze("router"),
    freezeEngine: () => freeze("engine"),
    freezeService: () => freeze("service"),
    crashEngine,
    logOutage: () => disturbStandIn("logService", { outage: true }, { outage: false }),
    logFrozen: () => disturbStandIn("logService", { freeze: true }, { freeze: false }),
    logSlow: () => disturbStandIn("logService", { latencyMilliseconds: 300 }, { latencyMilliseconds: 0 }),
    logLosesAnswers: () => disturbStandIn("logService", { loseAppendAnswers: 5 }, { loseAppendAnswers: 0 }),
    vmListOutage: () => disturbStandIn("vmList", { outage: true }, { outage: false }),
    serviceLosesAnswers: () => disturbStandIn("service", { loseAnswers: 2 }, { loseAnswers: 0 }),
    serviceCrossesAnswers: () => disturbStandIn("service", { crossAnswers: 2 }, { crossAnswers: 0 }),
    serviceGarbage: () => disturbStandIn("service", { garbage: 2 }, { garbage: 0 }),
    serviceRefuses: () => disturbStandIn("service", { refuse: true }, { refuse: false }),
    engineCloses: () =>
      disturbStandIn("engine", { closeEarlyAfterTokens: 7 }, { closeEarlyAfterTokens: null }),
    engineStalls: () => disturbStandIn("engine", { stallAfterTokens: 9 }, { stallAfterTokens: null }),
    engineCrossesAnswers: () => disturbStandIn("engine", { crossAnswers: 2 }, { crossAnswers: 0 }),
    engineOutage: () => disturbStandIn("engine", { outage: true }, { outage: false }),
  };

  const disturb = async (): Promise<void> => {
    const name = pick(Object.keys(things)) ?? "";
    counts.set(name, (counts.get(name) ?? 0) + 1);
    // A call to a stand-in that is frozen at the moment may fail; nothing depends on it.
    await things[name]?.().catch(() => undefined);
  };

  const findBadShutdowns = async (): Promise<readonly Violation[]> =>
    (await Promise.all(shutdowns)).filter((violation) => violation !== undefined);

  return { injectFault: disturb, findBadShutdowns, counts };
};
