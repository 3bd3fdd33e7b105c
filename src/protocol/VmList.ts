import type { ListedVm } from "./types.ts";

/** The platform's list of VMs, which lags behind the truth. */
export abstract class VmList {
  /**
   * Reads the whole list. Throws `PlatformError`.
   *
   * @returns The same object as the last time where nothing has changed, so that it need not be looked through.
   */
  abstract read(): Promise<readonly ListedVm[]>;
}
