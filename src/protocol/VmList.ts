import type { ListedVm } from "./types.ts";

/** The platform's list of VMs, which lags behind the truth. */
export abstract class VmList {
  /** Reads the whole list. Throws `PlatformError`. */
  abstract read(): Promise<readonly ListedVm[]>;
}
