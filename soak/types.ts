/** Records of a soak run. */
import type { CallerRequest, CallerResult } from "../tests/processes/caller.ts";

/** A caller's request with all its tries. */
export interface SoakRecord {
  readonly request: CallerRequest;
  /** The expected answer: the whole text of a stream, or a text that the service's answer must contain. */
  readonly expected: string;
  readonly tries: readonly CallerResult[];
}

/** A violated invariant; `promise` names the invariant. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}
