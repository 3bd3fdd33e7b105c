import { Command } from "clipanion";
import type { EngineView } from "../../protocol/operator.ts";
import type { ListedVm } from "../../protocol/types.ts";
import type { OperatorClient } from "../../transport/operatorClient.ts";
import { queryRouters, listRouters } from "../queryRouters.ts";
import { ConnectedCommand } from "../OperatorCommand.ts";
import type { CommandResult } from "../OperatorCommand.ts";
import { formatTable } from "../table.ts";

/** What one data centre's routers say. */
interface DataCentreEngines {
  readonly dataCentre: string;
  /** The router that answered; null if none did. */
  readonly router: string | null;
  readonly engines: readonly EngineView[];
}

/** Asks the routers of a data centre one after another until one answers. */
const readDataCentre = async (
  client: OperatorClient,
  dataCentre: string,
  routers: readonly ListedVm[],
): Promise<DataCentreEngines> => {
  for (const router of routers) {
    const [answer] = await queryRouters([router], (url) => client.readEngines(url));
    if (answer?.reached === true) return { dataCentre, router: router.id, engines: answer.value };
  }
  return { dataCentre, router: null, engines: [] };
};

/** Merges the answers; an engine's own data centre knows it best. */
const mergeEngines = (answers: readonly DataCentreEngines[]): readonly EngineView[] => {
  const merged = new Map<string, EngineView>();
  for (const { dataCentre, engines } of answers) {
    for (const engine of engines) {
      if (engine.dataCentre === dataCentre || !merged.has(engine.id)) merged.set(engine.id, engine);
    }
  }
  return [...merged.values()].sort((left, right) => (left.id < right.id ? -1 : 1));
};

const tableRow = (engine: EngineView): readonly string[] => [
  engine.dataCentre,
  engine.pool,
  engine.id,
  engine.model ?? "-",
  engine.weightsVersion ?? "-",
  String(engine.running ?? "-"),
  String(engine.waiting ?? "-"),
  engine.state,
  engine.incarnation ?? "-",
];

/** `pomelocleat engines`. */
export class EnginesCommand extends ConnectedCommand {
  static override paths = [["engines"]];

  static override usage = Command.Usage({
    category: "Routers",
    description: "List the engines with model, weights and load",
    details: `
      Asks one router of each data centre. Exit code 6 if some data centre has no router that answers; its
      engines are then listed as far as other data centres know them.
    `,
  });

  protected async run(): Promise<CommandResult> {
    const settings = await this.readSettings();
    const client = this.createClient(settings);
    await using vmList = this.openVmList(settings);
    const routers = listRouters(await vmList.read()).filter(({ state }) => state === "live");
    const dataCentres = [...new Set(routers.map(({ dataCentre }) => dataCentre))];
    const answers = await Promise.all(
      dataCentres.map((dataCentre) =>
        readDataCentre(
          client,
          dataCentre,
          routers.filter((router) => router.dataCentre === dataCentre),
        ),
      ),
    );
    const engines = mergeEngines(answers);
    const unreachable = answers.filter(({ router }) => router === null).map(({ dataCentre }) => dataCentre);
    const header = [
      "DATA CENTRE",
      "POOL",
      "ENGINE",
      "MODEL",
      "WEIGHTS",
      "RUNNING",
      "WAITING",
      "STATE",
      "INCARNATION",
    ];
    const note = unreachable.length === 0 ? "" : `No router answered in: ${unreachable.join(", ")}\n`;
    return {
      exit: unreachable.length === 0 ? "success" : "unreachable",
      text: `${formatTable([header, ...engines.map(tableRow)])}${note}`,
      value: { engines, unreachable },
    };
  }
}
