import { Command, Option } from "clipanion";
import { parseConfiguration } from "../../protocol/configuration/check.ts";
import { digestSections, splitConfiguration } from "../../protocol/configuration/sections.ts";
import { readTextFile } from "../clientSettings.ts";
import { OperatorCommand } from "../OperatorCommand.ts";
import type { CommandResult } from "../OperatorCommand.ts";

/** `pomelocleat configuration check FILE`. */
export class ConfigurationCheckCommand extends OperatorCommand {
  static override paths = [["configuration", "check"]];

  static override usage = Command.Usage({
    category: "Configuration",
    description: "Check a configuration file without publishing it",
    details: "Lists all problems of the file at once. Connects to nothing.",
    examples: [["Check a file", "$0 configuration check examples/levant.json"]],
  });

  file = Option.String({ name: "FILE" });

  protected async run(): Promise<CommandResult> {
    const configuration = parseConfiguration(await readTextFile(this.file), this.file);
    const sections = splitConfiguration(configuration);
    const digest = digestSections(sections);
    return {
      exit: "success",
      text: `${this.file}: valid, ${sections.size} sections, digest ${digest}\n`,
      value: { file: this.file, valid: true, sections: sections.size, digest },
    };
  }
}
