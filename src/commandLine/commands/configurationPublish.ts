import { userInfo } from "node:os";
import { Command, Option } from "clipanion";
import { parseConfiguration } from "../../protocol/configuration/check.ts";
import { readTextFile } from "../clientSettings.ts";
import { describeReason } from "../describeOutcome.ts";
import type { ExitName } from "../exitCodes.ts";
import { ConnectedCommand } from "../OperatorCommand.ts";
import type { CommandResult } from "../OperatorCommand.ts";
import { publishConfiguration } from "../publishConfiguration.ts";
import type { PublishResult } from "../publishConfiguration.ts";
import { formatTime } from "../table.ts";

const exits: Readonly<Record<PublishResult["kind"], ExitName>> = {
  published: "success",
  already_in_force: "success",
  beaten: "beaten",
  refused: "refused",
  state_unknown: "stateUnknown",
  outcome_unknown: "outcomeUnknown",
};

const describeResult = (result: PublishResult): string => {
  switch (result.kind) {
    case "published":
      return `Published: in force as version ${result.version}, digest ${result.digest}`;
    case "already_in_force":
      return `Nothing to publish: version ${result.version} is the same, digest ${result.digest}`;
    case "beaten": {
      const { version, publishedBy, publishedAt } = result.by;
      const winner = publishedBy === "" ? "" : ` by ${publishedBy} at ${formatTime(publishedAt)}`;
      return `Not in force: version ${version}${winner} was first. Nothing changed; look at it, then publish again.`;
    }
    case "refused":
      return `Not in force: the record is void, ${describeReason(result.reason)}`;
    case "state_unknown":
      return "The log no longer tells which version is in force. Wait for a router to restate it, or publish with --replace.";
    case "outcome_unknown":
      return "The log's answers were lost; the file may be in force. Look with `configuration history`; to publish the same file again does no harm.";
  }
};

const loginName = (): string => {
  try {
    return userInfo().username;
  } catch {
    return "unknown";
  }
};

/** `pomelocleat configuration publish FILE`. */
export class ConfigurationPublishCommand extends ConnectedCommand {
  static override paths = [["configuration", "publish"]];

  static override usage = Command.Usage({
    category: "Configuration",
    description: "Publish a complete configuration file and read back what became of it",
    details: `
      The file is checked, compared with the version in force, and appended to the log as a whole change.
      If somebody else published in between, nothing changes and the winning version is named (exit code 3).
      A lost answer is resolved by reading the log.

      Exit codes: 0 in force; 2 the file or a setting is wrong; 3 another publication was first; 4 void for
      another reason; 5 nobody could be asked what became of it; 6 the log did not answer and nothing
      changed; 7 the log no longer tells which version is in force.
    `,
    examples: [
      ["Publish a file", "$0 configuration publish levant.json --by layla"],
      ["Publish where the log has lost track", "$0 configuration publish levant.json --replace"],
    ],
  });

  file = Option.String({ name: "FILE" });
  by = Option.String("--by", {
    env: "POMELOCLEAT_PUBLISHER",
    description: "Who publishes, for the history; or POMELOCLEAT_PUBLISHER; else the login name",
  });
  replace = Option.Boolean("--replace", false, {
    description: "Supersede whatever is in force; only for a log that no longer tells what that is",
  });

  protected async run(): Promise<CommandResult> {
    const configuration = parseConfiguration(await readTextFile(this.file), this.file);
    const settings = await this.readSettings();
    await using log = this.openLog(settings);
    const result = await publishConfiguration(log, {
      configuration,
      publishedBy: this.by ?? settings.publisher ?? loginName(),
      publishedAt: Date.now(),
      replace: this.replace,
    });
    return { exit: exits[result.kind], text: `${describeResult(result)}\n`, value: result };
  }
}
