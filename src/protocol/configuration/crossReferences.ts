/** Checks of the references between a configuration's items, and of rules that the schema can't express. */
import type { FileProblem } from "../errors.ts";
import { listNames } from "./entries.ts";
import type { ConfigurationEntries, Entry, ListName } from "./entries.ts";
import type { ClassConfiguration, ObjectiveConfiguration } from "./schema.ts";

/** Items by name, built once for all checks. */
type Items = ReadonlyMap<string | undefined, object | undefined>;
type Lookup = Readonly<Record<ListName, Items>>;

type Check = (entries: ConfigurationEntries, lookup: Lookup) => readonly FileProblem[];

/** A name in the file that refers to an item of a list. */
interface Reference {
  readonly path: string;
  readonly name: string;
  /** The deployment that the item must belong to; absent for items that belong to none. */
  readonly deployment?: string;
}

const singular: Readonly<Record<ListName, string>> = {
  deployments: "deployment",
  dataCentres: "data centre",
  organisations: "organisation",
  classes: "class",
  models: "model",
  enginePools: "engine pool",
  services: "service",
  keyValueStores: "key-value store",
};

/** Runs a check on each item that has passed the schema. */
const checkItems = <Item>(
  entries: readonly Entry<Item>[],
  check: (item: Item, path: string) => readonly FileProblem[],
): readonly FileProblem[] =>
  entries.flatMap(({ item, path }) => (item === undefined ? [] : check(item, path)));

const findDuplicates = (path: string, values: readonly string[]): readonly FileProblem[] =>
  values.flatMap((value, index) =>
    values.indexOf(value) === index
      ? []
      : [{ path: `${path}[${index}]`, cause: `"${value}" is given twice` }],
  );

/** Checks that the target of each reference exists in a list and belongs to the expected deployment. */
const checkReferences = (
  list: ListName,
  lookup: Lookup,
  references: readonly Reference[],
): readonly FileProblem[] => {
  const items = lookup[list];
  return references.flatMap(({ path, name, deployment }) => {
    if (!items.has(name)) return [{ path, cause: `there is no ${singular[list]} "${name}"` }];
    const item = items.get(name);
    if (deployment === undefined || item === undefined || !("deployment" in item)) return [];
    if (item.deployment === deployment) return [];
    const owner = String(item.deployment);
    const cause = `${singular[list]} "${name}" belongs to deployment "${owner}", not "${deployment}"`;
    return [{ path, cause }];
  });
};

const referencesTo = (path: string, names: readonly string[], deployment?: string): readonly Reference[] =>
  names.map((name, index) => ({
    path: `${path}[${index}]`,
    name,
    ...(deployment === undefined ? {} : { deployment }),
  }));

const checkUniqueNames: Check = (entries) =>
  listNames.flatMap((list) => {
    const seen = new Set<string>();
    return entries[list].flatMap(({ path, name }) => {
      if (name === undefined) return [];
      if (seen.has(name)) {
        return [{ path: `${path}.name`, cause: `another ${singular[list]} is also named "${name}"` }];
      }
      seen.add(name);
      return [];
    });
  });

const checkDeploymentsExist: Check = (entries, lookup) => {
  const owned = [
    ...entries.organisations,
    ...entries.classes,
    ...entries.models,
    ...entries.enginePools,
    ...entries.services,
    ...entries.keyValueStores,
  ];
  const references = owned.flatMap(({ path, item }) =>
    item === undefined ? [] : [{ path: `${path}.deployment`, name: item.deployment }],
  );
  return checkReferences("deployments", lookup, references);
};

const checkDataCentresExist: Check = (entries, lookup) => {
  const placed = [...entries.enginePools, ...entries.services, ...entries.keyValueStores];
  return placed.flatMap(({ path, item }) => {
    if (item === undefined) return [];
    const listPath = `${path}.dataCentres`;
    return [
      ...checkReferences("dataCentres", lookup, referencesTo(listPath, item.dataCentres)),
      ...findDuplicates(listPath, item.dataCentres),
    ];
  });
};

const checkOrganisationLists: Check = (entries, lookup) =>
  checkItems(entries.organisations, ({ models, services, rivals, deployment }, path) => [
    ...checkReferences("models", lookup, referencesTo(`${path}.models`, models, deployment)),
    ...checkReferences("services", lookup, referencesTo(`${path}.services`, services, deployment)),
    ...checkReferences("organisations", lookup, referencesTo(`${path}.rivals`, rivals, deployment)),
    ...findDuplicates(`${path}.models`, models),
    ...findDuplicates(`${path}.services`, services),
    ...findDuplicates(`${path}.rivals`, rivals),
  ]);

const checkRivalsAreOthers: Check = (entries) =>
  checkItems(entries.organisations, ({ name, rivals }, path) =>
    rivals.flatMap((rival, index) =>
      rival === name
        ? [{ path: `${path}.rivals[${index}]`, cause: "an organisation cannot rival itself" }]
        : [],
    ),
  );

/** Organisations are identified by their API keys, so no two of them may share one. */
const checkKeysAreUnshared: Check = (entries) => {
  const owners = new Map<string, string>();
  return checkItems(entries.organisations, ({ name, keyHashes }, path) =>
    keyHashes.flatMap((hash, index) => {
      const owner = owners.get(hash);
      owners.set(hash, owner ?? name);
      if (owner === undefined) return [];
      const cause =
        owner === name ? "the same key is given twice" : `organisation "${owner}" has the same key`;
      return [{ path: `${path}.keyHashes[${index}]`, cause }];
    }),
  );
};

const checkClassReferences: Check = (entries, lookup) => {
  const ofModels = collectReferences(entries.models, (model, path) => ({
    path: `${path}.defaultClass`,
    name: model.defaultClass,
    deployment: model.deployment,
  }));
  const ofServices = collectReferences(entries.services, (service, path) => ({
    path: `${path}.class`,
    name: service.class,
    deployment: service.deployment,
  }));
  return checkReferences("classes", lookup, [...ofModels, ...ofServices]);
};

const collectReferences = <Item>(
  entries: readonly Entry<Item>[],
  read: (item: Item, path: string) => Reference,
): readonly Reference[] =>
  entries.flatMap(({ item, path }) => (item === undefined ? [] : [read(item, path)]));

const checkPoolModels: Check = (entries, lookup) =>
  checkReferences(
    "models",
    lookup,
    collectReferences(entries.enginePools, (pool, path) => ({
      path: `${path}.model`,
      name: pool.model,
      deployment: pool.deployment,
    })),
  );

const checkAdapterNames: Check = (entries) =>
  checkItems(entries.models, ({ adapters }, path) =>
    findDuplicates(
      `${path}.adapters`,
      adapters.map(({ name }) => name),
    ),
  );

const checkRoutes: Check = (entries) =>
  checkItems(entries.services, ({ nonIdempotentRoutes }, path) =>
    findDuplicates(
      `${path}.nonIdempotentRoutes`,
      nonIdempotentRoutes.map((route) => `${route.method} ${route.path}`),
    ),
  );

const checkClassTimes = (item: ClassConfiguration, path: string): readonly FileProblem[] => {
  const problems: FileProblem[] = [];
  if (item.firstTokenDeadline > item.completionDeadline) {
    problems.push({ path: `${path}.firstTokenDeadline`, cause: "is later than completionDeadline" });
  }
  if (item.stallTimeout > item.completionDeadline) {
    problems.push({ path: `${path}.stallTimeout`, cause: "is longer than completionDeadline" });
  }
  if (item.hedgeAfter !== undefined && item.hedgeAfter >= item.firstTokenDeadline) {
    problems.push({ path: `${path}.hedgeAfter`, cause: "is not before firstTokenDeadline" });
  }
  if (item.hedgeAfter !== undefined && item.kind === "batch") {
    problems.push({ path: `${path}.hedgeAfter`, cause: "only interactive classes may hedge" });
  }
  return problems;
};

const checkClasses: Check = (entries) => checkItems(entries.classes, checkClassTimes);

const checkObjective = (
  objective: ObjectiveConfiguration | undefined,
  path: string,
): readonly FileProblem[] => {
  if (objective === undefined || objective.timeToFirstToken + objective.recomputation > 0) return [];
  return [{ path: `${path}.objective`, cause: "at least one weight has to be above 0" }];
};

const checkObjectives: Check = (entries) => [
  ...checkItems(entries.deployments, (item, path) => checkObjective(item.objective, path)),
  ...checkItems(entries.classes, (item, path) => checkObjective(item.objective, path)),
];

/** A claim must outlive every request that it may belong to, and a retry of that request. */
const checkClaimRetention: Check = ({ classes, limits }) => {
  if (limits === undefined) return [];
  const deadlines = classes.map(({ item }) => item?.completionDeadline ?? 0);
  const longest = Math.max(0, ...deadlines);
  if (limits.claimRetention >= 2 * longest) return [];
  const cause = `must be at least twice the longest completionDeadline (${longest} ms)`;
  return [{ path: "limits.claimRetention", cause }];
};

const checks: readonly Check[] = [
  checkUniqueNames,
  checkDeploymentsExist,
  checkDataCentresExist,
  checkOrganisationLists,
  checkRivalsAreOthers,
  checkKeysAreUnshared,
  checkClassReferences,
  checkPoolModels,
  checkAdapterNames,
  checkRoutes,
  checkClasses,
  checkObjectives,
  checkClaimRetention,
];

const itemsByName = (entries: readonly Entry<object>[]): Items =>
  new Map(entries.map(({ name, item }) => [name, item]));

const createLookup = (entries: ConfigurationEntries): Lookup => ({
  deployments: itemsByName(entries.deployments),
  dataCentres: itemsByName(entries.dataCentres),
  organisations: itemsByName(entries.organisations),
  classes: itemsByName(entries.classes),
  models: itemsByName(entries.models),
  enginePools: itemsByName(entries.enginePools),
  services: itemsByName(entries.services),
  keyValueStores: itemsByName(entries.keyValueStores),
});

/** Runs all the checks of references and rules on the items of a configuration. */
export const findCrossReferenceProblems = (entries: ConfigurationEntries): readonly FileProblem[] => {
  const lookup = createLookup(entries);
  return checks.flatMap((check) => check(entries, lookup));
};
