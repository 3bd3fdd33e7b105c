import { Command, Option } from "clipanion";
import type { LogService } from "../protocol/LogService.ts";
import { FileError, PlatformError } from "../protocol/errors.ts";
import type { VmList } from "../protocol/VmList.ts";
import { createHttpLogService } from "../transport/httpLogService.ts";
import { createHttpVmList } from "../transport/httpVmList.ts";
import { createOperatorClient } from "../transport/operatorClient.ts";
import type { OperatorClient } from "../transport/operatorClient.ts";
import { readClientSettings } from "./clientSettings.ts";
import type { ClientSettings } from "./clientSettings.ts";
import { CommandError, commandError } from "./errors.ts";
import { exitCodes } from "./exitCodes.ts";
import type { ExitName } from "./exitCodes.ts";

/** The result of a command. */
export interface CommandResult {
  readonly exit: ExitName;
  /** What is printed for people. */
  readonly text: string;
  /** What `--json` prints. */
  readonly value: unknown;
}

interface Failure {
  readonly exit: ExitName;
  readonly message: string;
  readonly problems?: readonly unknown[];
}

const describeFailure = (error: unknown): Failure => {
  if (error instanceof CommandError) return { exit: error.exit, message: error.message };
  if (error instanceof FileError) {
    return { exit: "invalidInput", message: error.message, problems: error.problems };
  }
  if (error instanceof PlatformError) return { exit: "unreachable", message: error.message };
  return {
    exit: "internal",
    message: error instanceof Error ? (error.stack ?? error.message) : String(error),
  };
};

/** Base class of all commands: the `--json` option, output and exit codes. */
export abstract class OperatorCommand extends Command {
  json = Option.Boolean("--json", false, { description: "Print one JSON value" });

  /** Does the command's work; throws on failure. */
  protected abstract run(): Promise<CommandResult>;

  override async execute(): Promise<number> {
    try {
      const { exit, text, value } = await this.run();
      this.context.stdout.write(this.json ? `${JSON.stringify(value, undefined, 2)}\n` : text);
      return exitCodes[exit];
    } catch (error) {
      return this.report(describeFailure(error));
    }
  }

  private report(failure: Failure): number {
    if (this.json) this.context.stdout.write(`${JSON.stringify({ error: failure }, undefined, 2)}\n`);
    else this.context.stderr.write(`${failure.message}\n`);
    return exitCodes[failure.exit];
  }
}

const required = (value: string | undefined, name: string, option: string, variable: string): string => {
  if (value !== undefined) return value;
  const ways = `Give ${option}, set ${variable}, or put "${name}" into the settings file.`;
  throw commandError(`No ${name} is known. ${ways}`, "invalidInput");
};

/** Base class of commands that connect to the platform or to routers: connection options and settings. */
export abstract class ConnectedCommand extends OperatorCommand {
  logService = Option.String("--log-service", {
    env: "POMELOCLEAT_LOG_SERVICE",
    description: "URL of the platform's log service; or POMELOCLEAT_LOG_SERVICE",
  });
  vmList = Option.String("--vm-list", {
    env: "POMELOCLEAT_VM_LIST",
    description: "URL of the platform's VM list; or POMELOCLEAT_VM_LIST",
  });
  operatorKey = Option.String("--operator-key", {
    env: "POMELOCLEAT_OPERATOR_KEY",
    description: "Key that routers accept from operators; or POMELOCLEAT_OPERATOR_KEY",
  });
  settings = Option.String("--settings", {
    env: "POMELOCLEAT_SETTINGS",
    description: "JSON file with what the other options do not give; or POMELOCLEAT_SETTINGS",
  });

  protected readSettings(): Promise<ClientSettings> {
    const { logService, vmList, operatorKey } = this;
    return readClientSettings({ logService, vmList, operatorKey }, this.settings);
  }

  protected openLog({ logService, timeout }: ClientSettings): LogService & AsyncDisposable {
    const url = required(logService, "logService", "--log-service", "POMELOCLEAT_LOG_SERVICE");
    return createHttpLogService({ url, timeout });
  }

  protected openVmList({ vmList, timeout }: ClientSettings): VmList & AsyncDisposable {
    const url = required(vmList, "vmList", "--vm-list", "POMELOCLEAT_VM_LIST");
    return createHttpVmList({ url, timeout });
  }

  protected createClient({ operatorKey, timeout }: ClientSettings): OperatorClient {
    const key = required(operatorKey, "operatorKey", "--operator-key", "POMELOCLEAT_OPERATOR_KEY");
    return createOperatorClient({ operatorKey: key, timeout });
  }
}
