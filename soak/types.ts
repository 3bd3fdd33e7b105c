/** Data of the soak run. */
import type { CallerRequest, CallerResult } from "../tests/processes/caller.ts";

/** One request of a caller with all its tries. */
export interface SoakRecord {
  readonly request: CallerRequest;
  /** What the answer has to contain: the whole text of a stream, or what the service echoes. */
  readonly expected: string;
  readonly tries: readonly CallerResult[];
}

/** Something that must never be. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}
