import { Command, Option } from "clipanion";
import { createConfigurationHistory } from "../../state/configurationHistory.ts";
import type { ConfigurationHistory } from "../../state/configurationHistory.ts";
import type { ConfigurationInForce } from "../../state/configurationReplay.ts";
import { commandError } from "../errors.ts";
import { ConnectedCommand } from "../OperatorCommand.ts";
import type { CommandResult } from "../OperatorCommand.ts";
import { readConfigurationLog } from "../readConfigurationLog.ts";

const parseVersion = (text: string): number => {
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw commandError(`--version: "${text}" is no version number`, "invalidInput");
};

const checkFound = (
  found: ConfigurationInForce | undefined,
  history: ConfigurationHistory,
  wanted: number | undefined,
): ConfigurationInForce => {
  if (found !== undefined) return found;
  if (wanted !== undefined) throw commandError(`The log holds no version ${wanted}`, "notFound");
  if (history.isCertain()) throw commandError("No version has been published yet", "notFound");
  throw commandError("The log no longer tells which version is in force", "stateUnknown");
};

/** `pomelocleat configuration show [--version N]`. */
export class ConfigurationShowCommand extends ConnectedCommand {
  static override paths = [["configuration", "show"]];

  static override usage = Command.Usage({
    category: "Configuration",
    description: "Print the configuration in force, or an earlier version that the log still tells",
    details: "Without `--json` it prints a file that can be changed and published again.",
    examples: [["Go back to an earlier version", "$0 configuration show --version 17 > earlier.json"]],
  });

  version = Option.String("--version", { description: "Print this version instead" });

  protected async run(): Promise<CommandResult> {
    const wanted = this.version === undefined ? undefined : parseVersion(this.version);
    await using log = this.openLog(await this.readSettings());
    const history = createConfigurationHistory();
    await readConfigurationLog(
      log,
      history,
      () => wanted !== undefined && history.current()?.version === wanted,
    );
    const current = history.current();
    const isWanted = wanted === undefined ? history.isCertain() : current?.version === wanted;
    const found = checkFound(isWanted ? current : undefined, history, wanted);
    const { version, digest, publishedBy, publishedAt, configuration } = found;
    return {
      exit: "success",
      text: `${JSON.stringify(configuration, undefined, 2)}\n`,
      value: { version, digest, publishedBy, publishedAt, configuration },
    };
  }
}
