/**
 * Model-based test of how routers exchange proofs that the configuration is current: random schedules of
 * publications, late reads, restarts, freezes, slow and lost datagrams run on the real modules under a manual clock.
 * The revocation of keys depends on this property: no router has a proof for a version as of a time when a newer one
 * was published.
 */
import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { createReplicaTable } from "../../state/forwarding/replicaTable.ts";
import { configurationOf, pageOf } from "../../../tests/support/forwardingFixture.ts";
import { MemoryNetwork } from "../../../tests/support/MemoryNetwork.ts";
import { noQuarantine } from "../crashes/quarantine.ts";
import { createManualClock } from "../manualClock.ts";
import type { ConfigurationState } from "./configurationState.ts";
import { noEpochs } from "../storeEpochs/recoveryWindow.ts";
import { createConfigurationState } from "./configurationState.ts";
import type { RouterPeers } from "./routerPeers.ts";
import { createRouterPeers } from "./routerPeers.ts";

const routerCount = 3;

/** A process of a router, with a clock of its own that starts at 0. */
interface Process {
  readonly startedAt: number;
  readonly configuration: ConfigurationState;
  readonly peers: RouterPeers;
}

type Action =
  | { readonly kind: "wait"; readonly time: number }
  | { readonly kind: "publish" }
  | { readonly kind: "read"; readonly router: number; readonly time: number }
  | { readonly kind: "restart"; readonly router: number }
  | { readonly kind: "freeze"; readonly router: number }
  | { readonly kind: "thaw"; readonly router: number }
  | { readonly kind: "network"; readonly delay: number; readonly isDown: boolean };

const router = fc.nat({ max: routerCount - 1 });
const time = fc.integer({ min: 1, max: 900 });

const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant("wait" as const), time }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("publish" as const) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant("read" as const), router, time }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("restart" as const), router }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("freeze" as const), router }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("thaw" as const), router }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("network" as const),
      delay: fc.integer({ min: 1, max: 600 }),
      isDown: fc.boolean(),
    }),
  },
);

const createModel = () => {
  const clock = createManualClock(5_000);
  const network = new MemoryNetwork(clock);
  const publishedAt = [clock.monotonic()];
  let incarnations = 0;

  const entries = Array.from({ length: routerCount }, (_, index) => ({
    name: `router-${index}`,
    incarnation: "",
    dataCentre: "here",
    address: "10.0.0.1",
    port: index + 1,
  }));

  const start = (index: number): Process => {
    const entry = entries[index];
    if (entry === undefined) throw new RangeError(`there is no router ${index}`);
    const startedAt = clock.monotonic();
    const ownClock = { ...clock, monotonic: () => clock.monotonic() - startedAt };
    const configuration = createConfigurationState(ownClock);
    incarnations += 1;
    const peers = createRouterPeers({
      self: { ...entry, incarnation: `process-${incarnations}` },
      link: network.open(entry.port),
      clock: ownClock,
      replicas: createReplicaTable(),
      configuration,
      holders: { notePart: () => undefined },
      maxReadAge: () => Number.POSITIVE_INFINITY,
      onNewerConfiguration: () => undefined,
      ...noEpochs,
      quarantine: noQuarantine,
    });
    peers.add(entries);
    return { startedAt, configuration, peers };
  };

  const processes = entries.map((_, index) => start(index));

  /** A read whose response arrives later, with what the store held when the read was sent. */
  const read = ({ configuration, startedAt }: Process, delay: number): void => {
    const askedAt = clock.monotonic() - startedAt;
    const version = publishedAt.length;
    clock.after(delay, () => {
      configuration.apply(pageOf({ kind: "configuration", configuration: configurationOf(version) }));
      configuration.confirm(askedAt);
    });
  };

  const restart = (index: number): void => {
    void processes[index]?.peers[Symbol.asyncDispose]();
    processes[index] = start(index);
  };

  const perform = (next: Action): void => {
    if (next.kind === "wait") clock.advanceTo(clock.monotonic() + next.time);
    else if (next.kind === "publish") publishedAt.push(clock.monotonic());
    else if (next.kind === "restart") restart(next.router);
    else if (next.kind === "freeze") network.freeze(next.router + 1);
    else if (next.kind === "thaw") network.thaw(next.router + 1);
    else if (next.kind === "network") Object.assign(network, { delay: next.delay, isDown: next.isDown });
    else {
      const process = processes[next.router];
      if (process !== undefined) read(process, next.time);
    }
  };

  /** @returns Descriptions of routers with a proof for a time after a newer version was published. */
  const findWrongProofs = (): readonly string[] =>
    processes.flatMap(({ configuration, startedAt }, index) => {
      const version = configuration.table()?.configuration.version;
      if (version === undefined) return [];
      const supersededAt = publishedAt[version] ?? clock.monotonic();
      const provenAt = startedAt + configuration.provenAt();
      return provenAt <= supersededAt
        ? []
        : [`router-${index}: version ${version}, ${provenAt - supersededAt} ms`];
    });

  return { perform, findWrongProofs };
};

describe("proofs of the configuration exchanged between routers", () => {
  it("never hold past the publication of a newer version, whatever is late, lost, frozen or restarted", () => {
    fc.assert(
      fc.property(fc.array(action, { minLength: 10, maxLength: 80 }), (actions) => {
        const model = createModel();
        for (const next of actions) {
          model.perform(next);
          expect(model.findWrongProofs()).toEqual([]);
        }
      }),
      { seed: 11, numRuns: 400 },
    );
  });
});
