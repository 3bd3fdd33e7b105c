/** Exit codes of `pomelocleat`; documented in docs/OPERATORS.md. */
export const exitCodes = {
  success: 0,
  /** The command line is invalid. */
  usage: 1,
  /** A file or a setting is invalid or missing. */
  invalidInput: 2,
  /** Another publication was appended first; nothing changed. */
  beaten: 3,
  /** The log holds the publication, but every reader treats it as void. */
  refused: 4,
  /** The publication may have been appended; its outcome could not be determined. */
  outcomeUnknown: 5,
  /** The log service, the VM list or a router did not answer; nothing changed. */
  unreachable: 6,
  /** Records expired unread, so the log no longer shows which version is in force. */
  stateUnknown: 7,
  /** Routers differ from the version in force, or some are not ready. */
  routersDiffer: 8,
  /** No such router or version, or no log line about the request. */
  notFound: 9,
  /** An internal error of the client. */
  internal: 70,
} as const;

/** The name of an exit code. */
export type ExitName = keyof typeof exitCodes;
