/**
 * Has the garbage of short-lived buffers collected before it piles up. The runtime counts their memory only when tens of
 * megabytes have been allocated since its last collection, which a small VM doesn't have.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Garbage after which it is collected, bytes. */
const collectionInterval = 2_097_152;

/** Memory of the objects that belong to one buffer, bytes. */
const bufferOverhead = 512;

/** Of so many collections one covers all objects: buffers that outlived two collections are found by no other. */
const collectionsPerMajor = 4;

type Collect = (options?: { readonly type: "minor" }) => void;

let collect: Collect | undefined;
let garbage = 0;
let collections = 0;

const findCollector = (): Collect => {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as Collect;
};

/**
 * Notes a buffer that is no longer needed.
 *
 * @param bytes - Its size.
 */
export const noteGarbage = (bytes: number): void => {
  garbage += bytes + bufferOverhead;
  if (garbage < collectionInterval) return;
  garbage = 0;
  collect ??= findCollector();
  collections += 1;
  if (collections % collectionsPerMajor === 0) collect();
  else collect({ type: "minor" });
};
