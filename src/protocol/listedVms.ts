/** The JSON schema of VM lists, as the platform serves them and as routers send them to one another. */
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

/** Validates a list of VMs. */
export const listedVmsSchema = z.array(listedVm).transform((vms): readonly ListedVm[] =>
  // Omits an undefined `peerUrl`, so that equal lists compare as equal whatever their source.
  vms.map(({ peerUrl, ...vm }) => (peerUrl === undefined ? vm : { ...vm, peerUrl })),
);
