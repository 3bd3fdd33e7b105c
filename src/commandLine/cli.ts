/** The operators' client with all its commands. */
import { Builtins, Cli } from "clipanion";
import { ConfigurationCheckCommand } from "./commands/configurationCheck.ts";
import { ConfigurationHistoryCommand } from "./commands/configurationHistory.ts";
import { ConfigurationPublishCommand } from "./commands/configurationPublish.ts";
import { ConfigurationShowCommand } from "./commands/configurationShow.ts";
import { DumpCommand } from "./commands/dump.ts";
import { EnginesCommand } from "./commands/engines.ts";
import { ExplainCommand } from "./commands/explain.ts";
import { LogsCrashesCommand } from "./commands/logsCrashes.ts";
import { LogsRetriesCommand } from "./commands/logsRetries.ts";
import { LogsSummaryCommand } from "./commands/logsSummary.ts";
import { VersionsCommand } from "./commands/versions.ts";

const version = "0.1.0";

/**
 * Creates the client; run it with `cli.run(arguments)`.
 *
 * @param enableColors - Whether help and usage errors are coloured.
 */
export const createCli = (enableColors: boolean): Cli => {
  const cli = new Cli({
    binaryLabel: "pomelocleat operators' client",
    binaryName: "pomelocleat",
    binaryVersion: version,
    enableColors,
  });
  cli.register(ConfigurationCheckCommand);
  cli.register(ConfigurationPublishCommand);
  cli.register(ConfigurationHistoryCommand);
  cli.register(ConfigurationShowCommand);
  cli.register(VersionsCommand);
  cli.register(DumpCommand);
  cli.register(EnginesCommand);
  cli.register(ExplainCommand);
  cli.register(LogsCrashesCommand);
  cli.register(LogsRetriesCommand);
  cli.register(LogsSummaryCommand);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  return cli;
};
