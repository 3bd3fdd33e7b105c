/** The part of the settings that says what a router's VM offers to its process. */
import { z } from "zod";

/** Used where the settings name no VM. */
export const defaultVm = { memoryMegabytes: 512, descriptors: 4_096 } as const;

/** Limits of the VM. A process that exceeds them is ended, or can open no connection any more. */
export const vmSchema = z
  .strictObject({
    memoryMegabytes: z
      .number()
      .int()
      .min(32)
      .default(defaultVm.memoryMegabytes)
      .describe("Memory that the process may use, MB; what callers may hold of it is a share"),
    descriptors: z
      .number()
      .int()
      .min(64)
      .default(defaultVm.descriptors)
      .describe("File descriptors that the process may open"),
  })
  .default(defaultVm);

/** Validated limits. */
export type VmLimits = Readonly<z.output<typeof vmSchema>>;
