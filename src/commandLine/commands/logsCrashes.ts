import { Command, Option } from "clipanion";
import type { CrashSummary, CrashTrait } from "../crashSummary.ts";
import { summariseCrashes } from "../crashSummary.ts";
import { OperatorCommand } from "../OperatorCommand.ts";
import type { CommandResult } from "../OperatorCommand.ts";
import { describeUnreadable, readLogs } from "../readLogs.ts";
import { formatTable } from "../table.ts";

/** Traits that the table lists. */
const maxRows = 20;

const formatRow = ({ trait, replicas, routers, first, last }: CrashTrait): readonly string[] => [
  trait,
  String(replicas),
  String(routers),
  first,
  last,
];

const formatSummary = ({ crashes, begun, traits }: CrashSummary): string => {
  const total = `${crashes} replicas crashed, ${begun} of them after answers had begun\n`;
  const header = ["in flight", "replicas", "routers", "first", "last"];
  return crashes === 0 ? total : total + formatTable([header, ...traits.slice(0, maxRows).map(formatRow)]);
};

/** `pomelocleat logs crashes [FILE...]`. */
export class LogsCrashesCommand extends OperatorCommand {
  static override paths = [["logs", "crashes"]];

  static override usage = Command.Usage({
    category: "Failures",
    description: "Count the replicas that crashed, for each trait of the requests that were in flight there",
    details:
      "Reads the log lines of any number of routers, from files or from standard input. The cause of crashes is a trait that all of them have and that no complete answer has.",
    examples: [["From files", "$0 logs crashes router-1.log router-2.log"]],
  });

  files = Option.Rest({ name: "FILE" });

  protected async run(): Promise<CommandResult> {
    const { lines, unreadable } = await readLogs(this.files, this.context.stdin);
    const summary = summariseCrashes(lines);
    const note = describeUnreadable(unreadable);
    return { exit: "success", text: formatSummary(summary) + note, value: { ...summary, unreadable } };
  }
}
