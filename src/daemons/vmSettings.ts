/** The part of the settings that says what a router's VM offers to its process. */
import { z } from "zod";
import type { BodyBounds } from "../state/bodyMemory.ts";

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

const bytesPerMegabyte = 1_000_000;

/** Resident size of a router's process without requests, MB. */
const idleProcessMegabytes = 80;

/** Shares of the memory beyond the process itself. */
const memoryShares = { largeBodies: 1 / 4, smallBodies: 1 / 16, answers: 1 / 8 } as const;

/** Descriptors that files of the process may use. */
const fileDescriptors = 200;

/** Shares of the descriptors for connections; the rest is for replicas, the store, readiness and metrics. */
const connectionShares = { callers: 0.6, routers: 0.1 } as const;

/** The least that answers which callers don't read may hold, bytes. */
const leastAnswerBytes = 4_000_000;

/** What all callers together may hold of a router. */
export interface CallerBounds {
  /** Bytes of large bodies. */
  readonly largeBodyBytes: number;
  /** Bytes of small bodies, in addition to what large ones leave. */
  readonly smallBodyBytes: number;
  /** Bytes of answers that callers don't read. */
  readonly answerBytes: number;
  /** Connections of callers. */
  readonly connections: number;
  /** Connections of other routers. */
  readonly routerConnections: number;
}

/** @returns The bounds that follow from the VM's limits. */
export const deriveCallerBounds = ({ memoryMegabytes, descriptors }: VmLimits): CallerBounds => {
  const available = Math.max(0, memoryMegabytes - idleProcessMegabytes) * bytesPerMegabyte;
  const sockets = Math.max(0, descriptors - fileDescriptors);
  return {
    largeBodyBytes: available * memoryShares.largeBodies,
    smallBodyBytes: available * memoryShares.smallBodies,
    answerBytes: Math.max(leastAnswerBytes, available * memoryShares.answers),
    connections: Math.max(1, Math.floor(sockets * connectionShares.callers)),
    routerConnections: Math.max(1, Math.floor(sockets * connectionShares.routers)),
  };
};

/**
 * Derives the bounds for bodies. Whatever the VM's memory, two bodies of the largest size fit at once, so that one
 * organisation, which may hold half, always gets one served.
 *
 * @param largestBody - The largest body that is accepted, bytes.
 * @param idleTimeout - Milliseconds.
 */
export const deriveBodyBounds = (
  { largeBodyBytes, smallBodyBytes }: CallerBounds,
  largestBody: number,
  idleTimeout: number,
): BodyBounds => {
  const largeBytes = Math.max(largeBodyBytes, 2 * largestBody);
  return { largeBytes, totalBytes: largeBytes + smallBodyBytes, ownerBytes: largeBytes / 2, idleTimeout };
};
