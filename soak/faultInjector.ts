/** Injects random faults into the system of a soak run; each one is undone after a while. */
import { setTimeout as sleep } from "node:timers/promises";
import type { System, SystemProcess } from "../demo/processes.ts";
import type { Random } from "../bench/model/random.ts";
import { setFaults } from "../tests/processes/standInControl.ts";
import type { Violation } from "./types.ts";

/** Range of a fault's duration, milliseconds. */
const minDuration = 200;
const maxDuration = 2_500;
/** A process is frozen only if at least this many of its kind run; a router is replaced only if more do. */
const minProcesses = 2;
/** Milliseconds: far longer than any request of the load and any idle connection. */
const shutdownTimeout = 30_000;

/** Injects faults into a system and records them. */
export interface FaultInjector {
  /** Injects one fault, chosen at random, and undoes it. */
  readonly injectFault: () => Promise<void>;
  /** Waits for all graceful shutdowns; resolves with those that did not end or ended with an error. */
  readonly findBadShutdowns: () => Promise<readonly Violation[]>;
  /** Number of injections by name of the fault. */
  readonly counts: ReadonlyMap<string, number>;
}

/** Creates a fault injector. */
export const createFaultInjector = (system: System, random: Random): FaultInjector => {
  const counts = new Map<string, number>();
  const busy = new Set<string>();
  const shutdowns: Promise<Violation | undefined>[] = [];
  let started = 0;

  const monitorShutdown = async ({ name, process }: SystemProcess): Promise<Violation | undefined> => {
    const limit = new AbortController();
    const timeout = sleep(shutdownTimeout, undefined, { signal: limit.signal, ref: false });
    const end = await Promise.race([process.ended, timeout.catch(() => undefined)]);
    limit.abort();
    if (end?.code === 0) return undefined;
    const how = end === undefined ? "did not end" : `ended with ${String(end.code ?? end.signal)}`;
    return { promise: "a graceful shutdown ends", detail: `${name} ${how}` };
  };

  const randomIndex = (limit: number): number => Math.min(limit - 1, Math.floor(random.uniform() * limit));
  const pick = <T>(items: readonly T[]): T | undefined => items[randomIndex(items.length)];
  const waitRandomDuration = (): Promise<void> =>
    sleep(minDuration + random.uniform() * (maxDuration - minDuration));
  const ofKind = (kind: SystemProcess["kind"]): readonly SystemProcess[] =>
    system.processes().filter((item) => item.kind === kind && !busy.has(item.name));

  const replaceRouter = async (signal: "SIGKILL" | "SIGTERM"): Promise<void> => {
    const old = pick(ofKind("router"));
    if (old === undefined || ofKind("router").length <= minProcesses) return;
    busy.add(old.name);
    started += 1;
    const replacement = system.startRouter(`router-again-${started}`, old.dataCentre);
    old.process.kill(signal);
    if (signal === "SIGTERM") shutdowns.push(monitorShutdown(old));
    await replacement;
  };

  const freeze = async (kind: SystemProcess["kind"]): Promise<void> => {
    const frozen = pick(ofKind(kind));
    if (frozen === undefined || ofKind(kind).length < minProcesses) return;
    busy.add(frozen.name);
    frozen.process.kill("SIGSTOP");
    await waitRandomDuration();
    frozen.process.kill("SIGCONT");
    busy.delete(frozen.name);
  };

  /** Sets the fault switches of one stand-in, then resets them. */
  const injectStandInFaults = async (
    kind: SystemProcess["kind"],
    faults: Readonly<Record<string, unknown>>,
    undo: Readonly<Record<string, unknown>> = {},
  ): Promise<void> => {
    const standIn = pick(ofKind(kind));
    if (standIn === undefined) return;
    await setFaults(standIn.process.url, faults);
    await waitRandomDuration();
    await setFaults(standIn.process.url, undo);
  };

  const crashEngine = async (): Promise<void> => {
    const engine = pick(ofKind("engine"));
    if (engine !== undefined) await fetch(`${engine.process.url}/stand-in/crash`, { method: "POST" });
  };

  const faultActions: Readonly<Record<string, () => Promise<void>>> = {
    killRouter: () => replaceRouter("SIGKILL"),
    endRouter: () => replaceRouter("SIGTERM"),
    freezeRouter: () => freeze("router"),
    freezeEngine: () => freeze("engine"),
    freezeService: () => freeze("service"),
    crashEngine,
    logOutage: () => injectStandInFaults("logService", { outage: true }, { outage: false }),
    logFrozen: () => injectStandInFaults("logService", { freeze: true }, { freeze: false }),
    logSlow: () =>
      injectStandInFaults("logService", { latencyMilliseconds: 300 }, { latencyMilliseconds: 0 }),
    logLosesAnswers: () =>
      injectStandInFaults("logService", { loseAppendAnswers: 5 }, { loseAppendAnswers: 0 }),
    vmListOutage: () => injectStandInFaults("vmList", { outage: true }, { outage: false }),
    serviceLosesAnswers: () => injectStandInFaults("service", { loseAnswers: 2 }, { loseAnswers: 0 }),
    serviceCrossesAnswers: () => injectStandInFaults("service", { crossAnswers: 2 }, { crossAnswers: 0 }),
    serviceGarbage: () => injectStandInFaults("service", { garbage: 2 }, { garbage: 0 }),
    serviceRefuses: () => injectStandInFaults("service", { refuse: true }, { refuse: false }),
    engineCloses: () =>
      injectStandInFaults("engine", { closeEarlyAfterTokens: 7 }, { closeEarlyAfterTokens: null }),
    engineEndsInsideEvent: () =>
      injectStandInFaults(
        "engine",
        { unframed: true, closeEarlyAfterTokens: 7 },
        { unframed: false, closeEarlyAfterTokens: null },
      ),
    engineUnframed: () => injectStandInFaults("engine", { unframed: true }, { unframed: false }),
    engineStalls: () => injectStandInFaults("engine", { stallAfterTokens: 9 }, { stallAfterTokens: null }),
    engineCrossesAnswers: () => injectStandInFaults("engine", { crossAnswers: 2 }, { crossAnswers: 0 }),
    engineOutage: () => injectStandInFaults("engine", { outage: true }, { outage: false }),
  };

  const disturb = async (): Promise<void> => {
    const name = pick(Object.keys(faultActions)) ?? "";
    counts.set(name, (counts.get(name) ?? 0) + 1);
    // Setting faults of a frozen stand-in may fail, which is harmless.
    await faultActions[name]?.().catch(() => undefined);
  };

  const findBadShutdowns = async (): Promise<readonly Violation[]> =>
    (await Promise.all(shutdowns)).filter((violation) => violation !== undefined);

  return { injectFault: disturb, findBadShutdowns, counts };
};
