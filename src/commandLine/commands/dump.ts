import { Command, Option } from "clipanion";
import { findRouter } from "../queryRouters.ts";
import type { ClientSettings } from "../clientSettings.ts";
import { ConnectedCommand } from "../OperatorCommand.ts";
import type { CommandResult } from "../OperatorCommand.ts";

/** `pomelocleat dump ROUTER`. */
export class DumpCommand extends ConnectedCommand {
  static override paths = [["dump"]];

  static override usage = Command.Usage({
    category: "Routers",
    description: "Print the whole state of one router as JSON",
    examples: [
      ["By its id in the VM list", "$0 dump router-1"],
      ["By its URL, without the VM list", "$0 dump http://127.0.0.1:8080"],
    ],
  });

  router = Option.String({ name: "ROUTER" });

  private async findUrl(settings: ClientSettings): Promise<string> {
    if (this.router.startsWith("http://")) return this.router;
    await using vmList = this.openVmList(settings);
    return findRouter(await vmList.read(), this.router);
  }

  protected async run(): Promise<CommandResult> {
    const settings = await this.readSettings();
    const client = this.createClient(settings);
    const value = await client.dump(await this.findUrl(settings));
    return { exit: "success", text: `${JSON.stringify(value, undefined, 2)}\n`, value };
  }
}
