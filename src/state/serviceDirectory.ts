/** A router's view of the replicas of plain services. */
import type { ListedVm } from "../protocol/types.ts";

/** One replica of a plain service. */
export interface ServiceReplica {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly url: string;
  readonly leaving: boolean;
  /** Calls of this router in progress. */
  readonly inFlight: number;
  /** When it last failed a call, milliseconds on the monotonic clock. */
  readonly failedAt: number | undefined;
}

/** The service replicas that one router knows. */
export interface ServiceDirectory {
  readonly all: () => readonly ServiceReplica[];
  readonly ofService: (service: string) => readonly ServiceReplica[];
  /** Applies a complete VM list. */
  readonly applyVms: (vms: readonly ListedVm[]) => void;
  readonly markLeaving: (id: string) => void;
  readonly markFailed: (id: string, at: number) => void;
  readonly markAnswered: (id: string) => void;
  readonly addInFlight: (id: string, difference: 1 | -1) => void;
}

type Entry = { -readonly [Key in keyof ServiceReplica]: ServiceReplica[Key] };

export const createServiceDirectory = (): ServiceDirectory => {
  let replicas = new Map<string, Entry>();

  const fromVm = (vm: ListedVm): Entry => {
    const known = replicas.get(vm.id);
    const listedLeaving = vm.state === "leaving";
    if (known?.url === vm.url && known.service === vm.pool) {
      known.leaving ||= listedLeaving;
      return known;
    }
    return {
      id: vm.id,
      service: vm.pool,
      dataCentre: vm.dataCentre,
      url: vm.url,
      leaving: listedLeaving,
      inFlight: 0,
      failedAt: undefined,
    };
  };

  const updateEntry = (id: string, apply: (entry: Entry) => void): void => {
    const entry = replicas.get(id);
    if (entry !== undefined) apply(entry);
  };

  return {
    all: () => [...replicas.values()],
    ofService: (service) => [...replicas.values()].filter((replica) => replica.service === service),
    applyVms: (vms) => {
      const listed = vms.filter((vm) => vm.role === "service");
      replicas = new Map(listed.map((vm) => [vm.id, fromVm(vm)]));
    },
    markLeaving: (id) => updateEntry(id, (entry) => (entry.leaving = true)),
    markFailed: (id, at) => updateEntry(id, (entry) => (entry.failedAt = at)),
    markAnswered: (id) => updateEntry(id, (entry) => (entry.failedAt = undefined)),
    addInFlight: (id, difference) =>
      updateEntry(id, (entry) => (entry.inFlight = Math.max(0, entry.inFlight + difference))),
  };
};
