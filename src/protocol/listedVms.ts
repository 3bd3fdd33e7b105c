/** The form in which VM lists travel: from the platform, and between routers. */
import { z } from "zod";
import type { ListedVm } from "./types.ts";

const httpUrl = z.url({ protocol: /^http$/ });

const listedVm = z.object({
  id: z.string().min(1),
  dataCentre: z.string().min(1),
  url: httpUrl,
  peerUrl: httpUrl.optional(),
  role: z.enum(["router", "engine", "service", "keyValueStore"]),
  pool: z.string(),
  state: z.enum(["live", "leaving"]),
});

/** Checks a list of VMs. */
export const listedVmsSchema = z.array(listedVm).transform((vms): readonly ListedVm[] =>
  // An absent peer URL is left out, so that lists compare equal wherever they come from.
  vms.map(({ peerUrl, ...vm }) => (peerUrl === undefined ? vm : { ...vm, peerUrl })),
);
