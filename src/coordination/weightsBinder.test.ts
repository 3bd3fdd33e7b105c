import { readFile } from "node:fs/promises";
import { describe, it } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { parseConfiguration } from "../protocol/configuration/check.ts";
import type { ModelConfiguration } from "../protocol/configuration/schema.ts";
import { createEngineDirectory } from "../state/engineDirectory.ts";
import { createConfigurationIndex } from "./configurationIndex.ts";
import { createWeightsBinder } from "./weightsBinder.ts";

const name = "records-assistant";
const file = "examples/demo.json";
const base = parseConfiguration(await readFile(file, "utf8"), file);

const modelOf = (weightsVersion: string, adapterVersion?: string): ModelConfiguration => {
  const model = base.models.find((item) => item.name === name);
  const adapters = adapterVersion === undefined ? [] : [{ name: "first-aid", version: adapterVersion }];
  return { ...(model ?? fail()), weightsVersion, adapters };
};

const fail = (): never => {
  throw new TypeError("the demo's configuration has no such model");
};

/** What one engine reports: its weights, and adapters if any. */
interface Report {
  readonly weightsVersion: string;
  readonly adapters?: readonly string[];
  readonly leaving?: boolean;
}

const createSubject = (desired: ModelConfiguration, former: readonly ModelConfiguration[]) => {
  const directory = createEngineDirectory();
  const models = base.models.map((model) => (model.name === name ? desired : model));
  const index = createConfigurationIndex(1, { ...base, models });
  const choose = createWeightsBinder({ directory, formerModels: () => former });
  let time = 0;
  return {
    report: (reports: readonly Report[]): void => {
      time += 1;
      const vm = { dataCentre: "amman-north", url: "http://127.0.0.1:1", pool: name } as const;
      directory.applyVms(
        reports.map((_, number) => ({ ...vm, id: `engine-${number}`, role: "engine", state: "live" })),
      );
      reports.forEach(({ weightsVersion, adapters = [], leaving = false }, number) => {
        const counts = { running: 0, waiting: 0, pendingPromptTokens: 0, cachedTokens: 0 };
        const load = { ...counts, incarnation: "one", model: name, role: "serve", leaving };
        directory.applyLoad(`engine-${number}`, { ...load, weightsVersion, adapters }, time);
      });
    },
    bind: (prefix = "rules", adapter?: string) => choose({ index, model: name, adapter, prefix }),
  };
};

const versions = fc.constantFrom("new", "old", "older", "never named");
const reports = fc.array(fc.record({ weightsVersion: versions, leaving: fc.boolean() }), {
  minLength: 1,
  maxLength: 12,
});

describe("weights in force", () => {
  it("are those that a configuration named, and that a live engine runs where they are former ones", () => {
    fc.assert(
      fc.property(reports, fc.string(), (given, prefix) => {
        const { report, bind } = createSubject(modelOf("new"), [modelOf("old"), modelOf("older")]);
        report(given);
        const { weightsVersion } = bind(prefix);
        const live: readonly string[] = given
          .filter(({ leaving }) => !leaving)
          .map((item) => item.weightsVersion);
        expect(["new", "old", "older"].includes(weightsVersion)).toEqual(true);
        expect(weightsVersion === "new" || live.includes(weightsVersion)).toEqual(true);
        const enough = Math.max(1, Math.floor(given.length * 0.75));
        const ready = live.filter((version) => version === "new").length;
        if (ready >= enough) expect(weightsVersion).toEqual("new");
      }),
      { seed: 11 },
    );
  });

  it("move a prefix once while engine after engine is brought over, and never back", () => {
    fc.assert(
      fc.property(fc.string(), fc.integer({ min: 1, max: 12 }), (prefix, engines) => {
        const { report, bind } = createSubject(modelOf("new"), [modelOf("old")]);
        const bound = Array.from({ length: engines + 1 }, (_, ready) => {
          report(
            Array.from({ length: engines }, (_, number) => ({
              weightsVersion: number < ready ? "new" : "old",
            })),
          );
          return bind(prefix).weightsVersion;
        });
        expect(bound[0]).toEqual("old");
        expect(bound.at(-1)).toEqual("new");
        expect([...bound].sort().reverse()).toEqual(bound);
      }),
      { seed: 12 },
    );
  });

  it("stay with the former ones while none is ready, and leave them for good when most are", () => {
    const { report, bind } = createSubject(modelOf("new"), [modelOf("old")]);
    report([{ weightsVersion: "old" }, { weightsVersion: "old", leaving: true }]);
    expect(bind().weightsVersion).toEqual("old");
    report([{ weightsVersion: "old" }, { weightsVersion: "new" }]);
    expect(bind().weightsVersion).toEqual("new");
  });

  it("do not come back with one engine that was cut off and still runs the former ones", () => {
    const { report, bind } = createSubject(modelOf("new"), [modelOf("old")]);
    const ready = Array.from({ length: 7 }, () => ({ weightsVersion: "new" }));
    report([...ready, { weightsVersion: "old" }]);
    const bound = Array.from({ length: 100 }, (_, course) => bind(`course ${course}`).weightsVersion);
    expect(bound).toEqual(bound.map(() => "new"));
  });

  it("count an adapter's version as well", () => {
    const { report, bind } = createSubject(modelOf("new", "3"), [modelOf("new", "2")]);
    const two = { weightsVersion: "new", adapters: ["first-aid@2"] };
    report([two, two]);
    expect(bind("rules", "first-aid")).toEqual({ weightsVersion: "new", adapter: "first-aid@2" });
    expect(bind("rules")).toEqual({ weightsVersion: "new", adapter: undefined });
    report([two, { weightsVersion: "new", adapters: ["first-aid@3"] }]);
    expect(bind("rules", "first-aid").adapter).toEqual("first-aid@3");
  });
});
