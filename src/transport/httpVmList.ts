/**
 * The VM list over HTTP: `GET {url}/vms` answers `{"vms": ListedVm[]}`. Where the platform tags its answers
 * (`ETag`), a list that has not changed is not sent again: at 12,000 replicas it is some 2 MB.
 */
import { z } from "zod";
import { listedVmsSchema } from "../protocol/listedVms.ts";
import type { ListedVm } from "../protocol/types.ts";
import { VmList } from "../protocol/VmList.ts";
import { createPlatformHttpClient } from "./platformHttpClient.ts";
import type { PlatformHttpSettings } from "./platformHttpClient.ts";

const listAnswer = z.object({ vms: listedVmsSchema });

/**
 * Connects to the VM list.
 *
 * @returns The VM list; disposing it cuts calls in flight.
 */
export const createHttpVmList = (settings: PlatformHttpSettings): VmList & AsyncDisposable => {
  const http = createPlatformHttpClient(settings);

  let last: readonly ListedVm[] = [];
  let tag: string | undefined;

  class HttpVmList extends VmList implements AsyncDisposable {
    override async read(): Promise<readonly ListedVm[]> {
      const changed = await http.callIfChanged({ method: "GET", path: "/vms", answer: listAnswer }, tag);
      if (changed === undefined) return last;
      ({ tag } = changed);
      last = changed.value.vms;
      return last;
    }

    [Symbol.asyncDispose](): Promise<void> {
      return Promise.resolve(http[Symbol.asyncDispose]());
    }
  }

  return new HttpVmList();
};
