import { Command, Option } from "clipanion";
import { OperatorCommand } from "../OperatorCommand.ts";
import type { CommandResult } from "../OperatorCommand.ts";
import { describeUnreadable, readLogs } from "../readLogs.ts";
import type { RetrySummary, RetryWindow } from "../retryWindows.ts";
import { summariseRetries } from "../retryWindows.ts";
import { readSeconds } from "../secondsOption.ts";
import { formatTable } from "../table.ts";

/** Routers that a row of the table names. */
const maxNamedRouters = 5;

const formatRow = ({ service, from, retries, requests, routers }: RetryWindow): readonly string[] => {
  const named = routers.slice(0, maxNamedRouters).map((each) => `${each.router} ${each.retries}`);
  const rest = routers.length > maxNamedRouters ? `, ${routers.length - maxNamedRouters} others` : "";
  return [service, from, String(retries), String(requests), named.join(", ") + rest];
};

const formatSummary = ({ windows, uncounted }: RetrySummary): string => {
  const header = ["service", "window from", "retries", "requests", "by router"];
  const table =
    windows.length === 0 ? "no retry was granted\n" : formatTable([header, ...windows.map(formatRow)]);
  return uncounted.length === 0
    ? table
    : `${table}sent more often than granted: ${uncounted.length} requests, the first ${uncounted[0] ?? ""}\n`;
};

/** `pomelocleat logs retries [FILE...]`. */
export class LogsRetriesCommand extends OperatorCommand {
  static override paths = [["logs", "retries"]];

  static override usage = Command.Usage({
    category: "Failures",
    description: "Sum the granted retries over all routers, for the window that has the most of each service",
    details: "Reads the log lines of any number of routers, from files or from standard input.",
    examples: [["With a budget of ten seconds", "$0 logs retries --window 10 router-1.log router-2.log"]],
  });

  window = Option.String("--window", "10", {
    description: "Seconds of the budget's window; 10 if not given",
  });

  files = Option.Rest({ name: "FILE" });

  protected async run(): Promise<CommandResult> {
    const window = readSeconds("--window", this.window);
    const { lines, unreadable } = await readLogs(this.files, this.context.stdin);
    const summary = summariseRetries(lines, window);
    const note = describeUnreadable(unreadable);
    return { exit: "success", text: formatSummary(summary) + note, value: { ...summary, unreadable } };
  }
}
