import { Command } from "clipanion";
import { PlatformError } from "../../protocol/errors.ts";
import type { LogService } from "../../protocol/LogService.ts";
import type { RouterVersion } from "../../protocol/operator.ts";
import { createConfigurationHistory } from "../../state/configurationHistory.ts";
import type { ConfigurationHistory } from "../../state/configurationHistory.ts";
import { queryRouters, listRouters } from "../queryRouters.ts";
import type { RouterAnswer } from "../queryRouters.ts";
import { ConnectedCommand } from "../OperatorCommand.ts";
import type { CommandResult } from "../OperatorCommand.ts";
import { readConfigurationLog } from "../readConfigurationLog.ts";
import { formatTable, shortDigest } from "../table.ts";

/** What should be in force everywhere, and who says so. */
interface Expected {
  readonly source: "log" | "routers";
  readonly version: number | null;
  readonly digest: string | null;
}

/** One router's state for operators. */
interface VersionRow {
  readonly router: string;
  readonly dataCentre: string;
  readonly listed: "live" | "leaving";
  readonly reached: boolean;
  readonly cause: string | null;
  readonly version: number | null;
  readonly digest: string | null;
  /** Versions that it lacks; null where that cannot be told. */
  readonly behindBy: number | null;
  readonly ready: boolean;
}

const readLogUnlessOut = async (log: LogService): Promise<ConfigurationHistory | undefined> => {
  const history = createConfigurationHistory();
  try {
    await readConfigurationLog(log, history);
    return history.isCertain() ? history : undefined;
  } catch (error) {
    if (error instanceof PlatformError) return undefined;
    throw error;
  }
};

const newestOf = (answers: readonly RouterAnswer<RouterVersion>[]): Expected => {
  const values = answers.flatMap((answer) => (answer.reached ? [answer.value] : []));
  const versions = values.map(({ configurationVersion }) => configurationVersion ?? -1);
  const newest = values.find(({ configurationVersion }) => configurationVersion === Math.max(...versions));
  return {
    source: "routers",
    version: newest?.configurationVersion ?? null,
    digest: newest?.digest ?? null,
  };
};

const countBehind = (
  history: ConfigurationHistory | undefined,
  expected: Expected,
  version: number | null,
): number | null => {
  if (version === expected.version) return 0;
  if (history === undefined) return null;
  const applied = history.history().filter(({ fate }) => fate.kind === "applied");
  const isKnown = version === null || applied.some(({ offset }) => offset === version);
  return isKnown ? applied.filter(({ offset }) => offset > (version ?? -1)).length : null;
};

const describeAnswer = (
  answer: RouterAnswer<RouterVersion>,
  history: ConfigurationHistory | undefined,
  expected: Expected,
): VersionRow => {
  const { id: router, dataCentre, state: listed } = answer.vm;
  const common = { router, dataCentre, listed };
  if (!answer.reached) {
    const unknown = { version: null, digest: null, behindBy: null, ready: false };
    return { ...common, reached: false, cause: answer.cause, ...unknown };
  }
  const { configurationVersion: version, digest, ready } = answer.value;
  const behindBy = countBehind(history, expected, version);
  return { ...common, reached: true, cause: null, version, digest, behindBy, ready };
};

const describeState = (row: VersionRow, expected: Expected): string => {
  if (!row.reached) return "unreachable";
  if (row.version === expected.version && row.digest !== expected.digest) return "other digest";
  return row.ready ? "ready" : "not ready";
};

const describeBehind = ({ reached, behindBy }: VersionRow): string => {
  if (!reached) return "-";
  return behindBy === null ? "unknown" : String(behindBy);
};

const tableRow = (row: VersionRow, expected: Expected): readonly string[] => [
  row.dataCentre,
  row.router,
  row.listed,
  String(row.version ?? "-"),
  shortDigest(row.digest),
  describeBehind(row),
  describeState(row, expected),
];

/** A leaving router may be gone at any moment, so it does not count. */
const isFine = (row: VersionRow, expected: Expected): boolean =>
  row.listed === "leaving" || (row.reached && row.ready && row.digest === expected.digest);

/** `pomelocleat versions`. */
export class VersionsCommand extends ConnectedCommand {
  static override paths = [["versions"]];

  static override usage = Command.Usage({
    category: "Routers",
    description: "Show which configuration is in force on each router of each data centre",
    details: `
      Asks every router in the VM list, and compares with the log, or with the newest router while the log
      is out. Exit code 8 if a live router differs, is not ready or does not answer.
    `,
  });

  protected async run(): Promise<CommandResult> {
    const settings = await this.readSettings();
    const client = this.createClient(settings);
    await using vmList = this.openVmList(settings);
    await using log = this.openLog(settings);
    const [vms, history] = await Promise.all([vmList.read(), readLogUnlessOut(log)]);
    const answers = await queryRouters(listRouters(vms), (url) => client.readVersion(url));
    const inForce = history?.current();
    const expected: Expected =
      history === undefined
        ? newestOf(answers)
        : { source: "log", version: inForce?.version ?? null, digest: inForce?.digest ?? null };
    const rows = answers.map((answer) => describeAnswer(answer, history, expected));
    const header = ["DATA CENTRE", "ROUTER", "LISTED", "VERSION", "DIGEST", "BEHIND BY", "STATE"];
    const table = formatTable([header, ...rows.map((row) => tableRow(row, expected))]);
    const says = expected.source === "log" ? "the log says" : "the log is out; the newest router says";
    return {
      exit: rows.every((row) => isFine(row, expected)) ? "success" : "routersDiffer",
      text: `${table}In force, ${says}: ${expected.version ?? "no version"} ${shortDigest(expected.digest)}\n`,
      value: { expected, routers: rows },
    };
  }
}
