import { Command, Option } from "clipanion";
import { summarise } from "../logSummary.ts";
import type { LogSummary } from "../logSummary.ts";
import { OperatorCommand } from "../OperatorCommand.ts";
import type { CommandResult } from "../OperatorCommand.ts";
import { describeUnreadable, readLogs } from "../readLogs.ts";
import { readSeconds } from "../secondsOption.ts";
import { formatTable } from "../table.ts";

const formatSummary = ({ from, spanSeconds, causes }: LogSummary): string => {
  if (causes.length === 0) return "no request was refused or failed\n";
  const rows = causes.map(({ cause, total, counts }) => [String(total), cause, counts.join(" ")]);
  return `from ${from ?? "-"}, each ${spanSeconds} s\n${formatTable([["total", "cause", "by time"], ...rows])}`;
};

/** `pomelocleat logs summary [FILE...]`. */
export class LogsSummaryCommand extends OperatorCommand {
  static override paths = [["logs", "summary"]];

  static override usage = Command.Usage({
    category: "Failures",
    description: "Count refusals and failures by cause and time, from the logs of the routers",
    details: "Reads the log lines of any number of routers, from files or from standard input.",
    examples: [["By ten seconds", "$0 logs summary --span 10 router-1.log router-2.log"]],
  });

  span = Option.String("--span", "5", { description: "Seconds that are counted together; 5 if not given" });

  files = Option.Rest({ name: "FILE" });

  protected async run(): Promise<CommandResult> {
    const span = readSeconds("--span", this.span);
    const { lines, unreadable } = await readLogs(this.files, this.context.stdin);
    const summary = summarise(lines, span);
    const note = describeUnreadable(unreadable);
    return { exit: "success", text: formatSummary(summary) + note, value: { ...summary, unreadable } };
  }
}
