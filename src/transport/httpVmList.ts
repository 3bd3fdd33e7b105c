/**
 * HTTP client of the VM list: `GET {url}/vms` answers `{"vms": ListedVm[]}`. If the platform's answers have an
 * `ETag`, an unchanged list is not sent again: at 12,000 replicas it has about 2 MB.
 */
import { z } from "zod";
import { listedVmsSchema } from "../protocol/listedVms.ts";
import type { ListedVm } from "../protocol/types.ts";
import { VmList } from "../protocol/VmList.ts";
import { createPlatformHttpClient } from "./platformHttpClient.ts";
import type { PlatformHttpSettings } from "./platformHttpClient.ts";

const listSchema = z.object({ vms: listedVmsSchema });

/**
 * Connects to the VM list.
 *
 * @returns The VM list; disposing it aborts calls in flight.
 */
export const createHttpVmList = (settings: PlatformHttpSettings): VmList & AsyncDisposable => {
  const http = createPlatformHttpClient(settings);

  let lastVms: readonly ListedVm[] = [];
  let tag: string | undefined;

  class HttpVmList extends VmList implements AsyncDisposable {
    override async read(): Promise<readonly ListedVm[]> {
      const update = await http.callIfChanged({ method: "GET", path: "/vms", answer: listSchema }, tag);
      if (update === undefined) return lastVms;
      ({ tag } = update);
      lastVms = update.value.vms;
      return lastVms;
    }

    [Symbol.asyncDispose](): Promise<void> {
      return Promise.resolve(http[Symbol.asyncDispose]());
    }
  }

  return new HttpVmList();
};
