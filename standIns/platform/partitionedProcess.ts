/**
 * Preloaded into a router's process to partition it from the replicas. A file names their ports and the mode; it is read
 * again and again, so that the mode holds across restarts of the process.
 */
import { readFileSync } from "node:fs";
import type { PartitionMode } from "./routerNetwork.ts";
import { createRouterNetwork } from "./routerNetwork.ts";

/** The environment variable with the path of the file. */
export const partitionFileVariable = "POMELOCLEAT_PARTITION_FILE";

/** Content of the file. */
export interface PartitionFile {
  readonly ports: readonly number[];
  /** `null` for no partition. */
  readonly mode: PartitionMode | null;
}

/** Interval between two reads of the file, milliseconds. */
const readInterval = 20;

const followFile = (path: string): void => {
  const readPartition = (): PartitionFile => JSON.parse(readFileSync(path, "utf8")) as PartitionFile;
  const ports = new Set(readPartition().ports);
  const network = createRouterNetwork((port) => ports.has(port));
  let current: PartitionMode | null = null;
  const apply = (): void => {
    const { mode } = readPartition();
    if (mode === current) return;
    current = mode;
    if (mode === null) network.heal();
    else network.partition(mode);
  };
  apply();
  network.useForProcess();
  setInterval(apply, readInterval).unref();
};

const path = process.env[partitionFileVariable];
if (path !== undefined) followFile(path);
