import { Command } from "clipanion";
import { createConfigurationHistory } from "../../state/configurationHistory.ts";
import type { HistoryEntry } from "../../state/configurationReplay.ts";
import { describeFate } from "../describeOutcome.ts";
import { ConnectedCommand } from "../OperatorCommand.ts";
import type { CommandResult } from "../OperatorCommand.ts";
import { readConfigurationLog } from "../readConfigurationLog.ts";
import { formatTable, formatTime } from "../table.ts";

/** Section names that are written out for people. */
const maximumNames = 4;

const describeChanges = ({ put, remove }: HistoryEntry): string => {
  const names = [...put, ...remove.map((name) => `-${name}`)];
  const more = names.length - maximumNames;
  const shown = names.slice(0, maximumNames).join(" ");
  return more > 0 ? `${shown} and ${more} more` : shown;
};

const describeEntry = (entry: HistoryEntry): readonly string[] => [
  String(entry.offset),
  formatTime(entry.appendedAt),
  entry.kind,
  entry.publishedBy === "" ? "-" : entry.publishedBy,
  describeFate(entry.fate),
  describeChanges(entry),
];

/** `pomelocleat configuration history`. */
export class ConfigurationHistoryCommand extends ConnectedCommand {
  static override paths = [["configuration", "history"]];

  static override usage = Command.Usage({
    category: "Configuration",
    description: "List the last publications and what became of each",
    details: "Reads the log as routers do. A version's number is the offset of its publication.",
  });

  protected async run(): Promise<CommandResult> {
    await using log = this.openLog(await this.readSettings());
    const history = createConfigurationHistory();
    await readConfigurationLog(log, history);
    const entries = history.history();
    const inForce = history.current()?.version ?? null;
    const rows = [["OFFSET", "APPENDED", "KIND", "BY", "FATE", "SECTIONS"], ...entries.map(describeEntry)];
    const certain = history.isCertain();
    const note = certain ? "" : "Records expired unread: the log alone does not tell what is in force.\n";
    return {
      exit: certain ? "success" : "stateUnknown",
      text: `${formatTable(rows)}In force: ${inForce ?? "no version"}\n${note}`,
      value: { inForce, certain, records: entries },
    };
  }
}
