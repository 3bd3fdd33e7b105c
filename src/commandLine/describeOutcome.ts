/** Fates in words. */
import type { ConfigurationOutcome, VoidReason } from "../state/configurationOutcome.ts";

/** Says why a record is void. */
export const describeReason = (reason: VoidReason): string => {
  switch (reason.kind) {
    case "unreadable":
      return "not a configuration record";
    case "stale_base":
      return `based on ${reason.base ?? "no version"}, but version ${reason.beatenBy} was first`;
    case "unknown_base":
      return `based on version ${reason.base}, which never was in force`;
    case "invalid":
      return `invalid: ${reason.problems.map(({ path, cause }) => `${path}: ${cause}`).join("; ")}`;
    case "digest_mismatch":
      return "its result is not what its publisher meant";
    case "older_restatement":
      return `restates version ${reason.version}, which is no longer in force`;
  }
};

/** Says what became of a record. */
export const describeFate = (fate: ConfigurationOutcome): string => {
  switch (fate.kind) {
    case "applied":
      return `in force as version ${fate.version}`;
    case "restated":
      return `restates version ${fate.version}`;
    case "void":
      return `void: ${describeReason(fate.reason)}`;
    case "seen":
      return "seen before";
    case "undecided":
      return "undecided: records before it expired unread";
  }
};
