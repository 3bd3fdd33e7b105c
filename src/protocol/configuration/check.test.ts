import { readFile } from "node:fs/promises";
import { describe, it } from "node:test";
import { expect } from "earl";
import { FileError } from "../errors.ts";
import { parseConfiguration } from "./check.ts";

const readExample = (name: string): Promise<string> =>
  readFile(new URL(`../../../../examples/${name}.json`, import.meta.url), "utf8");

const problemsOf = (text: string): readonly string[] => {
  try {
    parseConfiguration(text, "x.json");
    return [];
  } catch (error) {
    if (!(error instanceof FileError)) throw error;
    return error.problems.map(({ path, cause }) => `${path}: ${cause}`);
  }
};

type Json = Record<string, Record<string, unknown>[]> & { limits: Record<string, unknown> };

/** Applies a change to the demo's configuration and returns the problems of the result. */
const problemsAfter = async (change: (file: Json) => void): Promise<readonly string[]> => {
  const file = JSON.parse(await readExample("demo")) as Json;
  change(file);
  return problemsOf(JSON.stringify(file));
};

const item = (file: Json, list: string, index: number): Record<string, unknown> => {
  const found = file[list]?.[index];
  if (found === undefined) throw new TypeError(`${list}[${index}] is missing`);
  return found;
};

const set = (list: string, index: number, field: string, value: unknown) => (file: Json) => {
  item(file, list, index)[field] = value;
};

describe("parseConfiguration", () => {
  for (const name of ["levant", "trinacria", "demo"]) {
    it(`accepts examples/${name}.json`, async () => {
      expect(problemsOf(await readExample(name))).toEqual([]);
    });
  }

  const texts = [
    ["", ": not JSON at line 1, column 1: expected a value, but the file ends"],
    ['{\n  "schema": 1,\n}', ": not JSON at line 3, column 1: expected a name in double quotes"],
    ['{"a": [1 2]}', ': not JSON at line 1, column 10: expected "," or "]"'],
    ['{"a": 01}', ': not JSON at line 1, column 8: expected "," or "}"'],
    ["{} x", ": not JSON at line 1, column 4: expected the end of the file"],
    ['{"a": "\u0001"}', ": not JSON at line 1, column 7: expected a value"],
    ['{"a": {"b": 1,\n"b": 2}}', "a.b: given twice, again at line 2, column 1"],
  ] as const;
  for (const [text, problem] of texts) {
    it(`refuses ${JSON.stringify(text)}`, () => {
      expect(problemsOf(text)).toEqual([problem]);
    });
  }

  it("reports schema problems together with cross-reference problems of the other items", async () => {
    const problems = await problemsAfter((file) => {
      item(file, "organisations", 0).standing = 0;
      item(file, "organisations", 1).models = ["records-asistant"];
      item(file, "organisations", 2).colour = "blue";
    });
    expect(problems).toEqual([
      "organisations[0].standing: Too small: expected number to be >=0.01",
      'organisations[2]: Unrecognized key: "colour"',
      'organisations[1].models[0]: there is no model "records-asistant"',
    ]);
  });

  const faults: readonly (readonly [string, (file: Json) => void, string])[] = [
    [
      "a duplicate name",
      set("classes", 0, "name", "price-lookup"),
      'classes[3].name: another class is also named "price-lookup"',
    ],
    [
      "an unknown deployment",
      set("keyValueStores", 0, "deployment", "lavant"),
      'keyValueStores[0].deployment: there is no deployment "lavant"',
    ],
    [
      "a model of another deployment",
      set("organisations", 0, "models", ["modelli"]),
      'organisations[0].models[0]: model "modelli" belongs to deployment "trinacria", not "levant"',
    ],
    [
      "a service of another deployment",
      set("organisations", 3, "services", ["records-desk"]),
      'organisations[3].services[0]: service "records-desk" belongs to deployment "levant", not "trinacria"',
    ],
    [
      "an unknown rival",
      set("organisations", 0, "rivals", ["air-nowhere"]),
      'organisations[0].rivals[0]: there is no organisation "air-nowhere"',
    ],
    [
      "an organisation that is its own rival",
      set("organisations", 0, "rivals", ["petra-wings"]),
      "organisations[0].rivals[0]: an organisation cannot rival itself",
    ],
    [
      "an unknown default class",
      set("models", 0, "defaultClass", "summary"),
      'models[0].defaultClass: there is no class "summary"',
    ],
    [
      "a class of another deployment",
      set("services", 0, "class", "price-lookup"),
      'services[0].class: class "price-lookup" belongs to deployment "trinacria", not "levant"',
    ],
    [
      "a pool of another deployment's model",
      set("enginePools", 0, "model", "modelli"),
      'enginePools[0].model: model "modelli" belongs to deployment "trinacria", not "levant"',
    ],
    [
      "an unknown data centre",
      set("enginePools", 0, "dataCentres", ["amman-north", "amman-west"]),
      'enginePools[0].dataCentres[1]: there is no data centre "amman-west"',
    ],
    [
      "a duplicate data centre",
      set("services", 0, "dataCentres", ["amman-north", "amman-north"]),
      'services[0].dataCentres[1]: "amman-north" is given twice',
    ],
    [
      "a first-token deadline after the completion deadline",
      set("classes", 0, "firstTokenDeadline", 3001),
      "classes[0].firstTokenDeadline: is later than completionDeadline",
    ],
    [
      "a stall timeout longer than the completion deadline",
      set("classes", 0, "stallTimeout", 3001),
      "classes[0].stallTimeout: is longer than completionDeadline",
    ],
    [
      "a hedge at or after the first-token deadline",
      set("classes", 0, "hedgeAfter", 600),
      "classes[0].hedgeAfter: is not before firstTokenDeadline",
    ],
    [
      "a batch class with hedging",
      set("classes", 6, "hedgeAfter", 10),
      "classes[6].hedgeAfter: only interactive classes may hedge",
    ],
    [
      "an objective without a positive weight",
      set("deployments", 0, "objective", { timeToFirstToken: 0, recomputation: 0 }),
      "deployments[0].objective: at least one weight has to be above 0",
    ],
    [
      "a duplicate adapter",
      set("models", 0, "adapters", [
        { name: "a", version: "1" },
        { name: "a", version: "2" },
      ]),
      'models[0].adapters[1]: "a" is given twice',
    ],
    [
      "a duplicate route",
      set("services", 0, "nonIdempotentRoutes", [
        { method: "POST", path: "/sign-offs" },
        { method: "POST", path: "/sign-offs" },
      ]),
      'services[0].nonIdempotentRoutes[1]: "POST /sign-offs" is given twice',
    ],
    [
      "a claim retention that is too short",
      (file) => {
        file.limits.claimRetention = 1_799_999;
      },
      "limits.claimRetention: must be at least twice the longest completionDeadline (900000 ms)",
    ],
    [
      "a key that two organisations share",
      (file) => {
        item(file, "organisations", 3).keyHashes = item(file, "organisations", 0).keyHashes;
      },
      'organisations[3].keyHashes[0]: organisation "petra-wings" has the same key',
    ],
  ];
  for (const [fault, change, problem] of faults) {
    it(`refuses ${fault}`, async () => {
      expect(await problemsAfter(change)).toEqual([problem]);
    });
  }

  it("refuses a field named __proto__", async () => {
    const text = (await readExample("demo")).replace('"schema": 1', '"__proto__": {}, "schema": 1');
    expect(problemsOf(text)).toEqual([': Unrecognized key: "__proto__"']);
  });
});
