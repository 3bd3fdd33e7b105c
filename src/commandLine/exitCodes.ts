/** How `pomelocleat` ends; documented in docs/OPERATORS.md. */
export const exitCodes = {
  success: 0,
  /** The command line is not understood. */
  usage: 1,
  /** A file or a setting is wrong or missing. */
  invalidInput: 2,
  /** Another publication was first; nothing changed. */
  beaten: 3,
  /** The log holds the publication, but every reader voids it. */
  refused: 4,
  /** The publication may have been taken; nobody could be asked. */
  outcomeUnknown: 5,
  /** The log service, the VM list or a router did not answer; nothing changed. */
  unreachable: 6,
  /** The log no longer tells which version is in force. */
  stateUnknown: 7,
  /** Routers differ from the version in force, or some are not ready. */
  routersDiffer: 8,
  /** There is no such router or version. */
  notFound: 9,
  /** A fault of the program itself. */
  internal: 70,
} as const;

/** The name of an exit code. */
export type ExitName = keyof typeof exitCodes;
