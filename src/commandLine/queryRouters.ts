/** Queries many routers, a limited number at a time. */
import { PlatformError } from "../protocol/errors.ts";
import type { ListedVm } from "../protocol/types.ts";
import { commandError } from "./errors.ts";

/** Routers queried at a time. */
const concurrency = 32;

/** A router's answer, or the reason that it couldn't be reached. */
export type RouterAnswer<Value> =
  | { readonly reached: true; readonly vm: ListedVm; readonly value: Value }
  | { readonly reached: false; readonly vm: ListedVm; readonly cause: string };

/** @returns The routers of a VM list, sorted by data centre and id. */
export const listRouters = (vms: readonly ListedVm[]): readonly ListedVm[] =>
  vms
    .filter(({ role }) => role === "router")
    .sort((left, right) => (`${left.dataCentre} ${left.id}` < `${right.dataCentre} ${right.id}` ? -1 : 1));

/**
 * Finds a router by its id.
 *
 * @returns Its URL.
 * @throws `CommandError` if the VM list doesn't have it.
 */
export const findRouter = (vms: readonly ListedVm[], router: string): string => {
  const vm = listRouters(vms).find(({ id }) => id === router);
  if (vm !== undefined) return vm.url;
  throw commandError(`The VM list has no router "${router}"`, "notFound");
};

const queryRouter = async <Value>(
  vm: ListedVm,
  query: (url: string) => Promise<Value>,
): Promise<RouterAnswer<Value>> => {
  try {
    return { reached: true, vm, value: await query(vm.url) };
  } catch (error) {
    if (error instanceof PlatformError) return { reached: false, vm, cause: error.message };
    throw error;
  }
};

/**
 * Queries every router.
 *
 * @returns The answers, in the order of `routers`.
 */
export const queryRouters = async <Value>(
  routers: readonly ListedVm[],
  query: (url: string) => Promise<Value>,
): Promise<readonly RouterAnswer<Value>[]> => {
  const answers = new Array<RouterAnswer<Value>>(routers.length);
  const pending = routers.entries();
  const queryNext = async (): Promise<void> => {
    for (const [index, vm] of pending) answers[index] = await queryRouter(vm, query);
  };
  await Promise.all(Array.from({ length: concurrency }, queryNext));
  return answers;
};
