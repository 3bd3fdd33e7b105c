import type { ListedVm } from "./types.ts";

/** The platform's list of VMs. It lags behind the actual state of the VMs. */
export abstract class VmList {
  /**
   * Reads the whole list. Throws `PlatformError`.
   *
   * @returns The list; the same object as the last time if nothing has changed, so that callers can skip it.
   */
  abstract read(): Promise<readonly ListedVm[]>;
}
