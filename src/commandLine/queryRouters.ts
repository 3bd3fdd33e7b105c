/** Asks many routers, a few at a time. */
import { PlatformError } from "../protocol/errors.ts";
import type { ListedVm } from "../protocol/types.ts";
import { commandError } from "./errors.ts";

/** Routers asked at once. */
const concurrency = 32;

/** A router's answer, or why there is none. */
export type RouterAnswer<Value> =
  | { readonly reached: true; readonly vm: ListedVm; readonly value: Value }
  | { readonly reached: false; readonly vm: ListedVm; readonly cause: string };

/** Picks the routers out of a VM list, by data centre and id. */
export const listRouters = (vms: readonly ListedVm[]): readonly ListedVm[] =>
  vms
    .filter(({ role }) => role === "router")
    .sort((left, right) => (`${left.dataCentre} ${left.id}` < `${right.dataCentre} ${right.id}` ? -1 : 1));

/** Finds a router by its id or its URL. */
export const findRouter = (vms: readonly ListedVm[], router: string): string => {
  const vm = listRouters(vms).find(({ id }) => id === router);
  if (vm !== undefined) return vm.url;
  throw commandError(`The VM list has no router "${router}"`, "notFound");
};

const askRouter = async <Value>(
  vm: ListedVm,
  ask: (url: string) => Promise<Value>,
): Promise<RouterAnswer<Value>> => {
  try {
    return { reached: true, vm, value: await ask(vm.url) };
  } catch (error) {
    if (error instanceof PlatformError) return { reached: false, vm, cause: error.message };
    throw error;
  }
};

/** Asks every router; the answers come in the routers' order. */
export const queryRouters = async <Value>(
  routers: readonly ListedVm[],
  ask: (url: string) => Promise<Value>,
): Promise<readonly RouterAnswer<Value>[]> => {
  const answers = new Array<RouterAnswer<Value>>(routers.length);
  const waiting = routers.entries();
  const work = async (): Promise<void> => {
    for (const [index, vm] of waiting) answers[index] = await askRouter(vm, ask);
  };
  await Promise.all(Array.from({ length: concurrency }, work));
  return answers;
};
