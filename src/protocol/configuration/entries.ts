/**
 * A configuration's items with their paths in the file. Cross references are checked on these items even if the schema
 * refuses other parts of the file, so that an operator sees all the problems at once.
 */
import { configurationSchema } from "./schema.ts";
import type { Configuration } from "./schema.ts";

/** The names of the configuration's lists, in the order of the file. */
export const listNames = [
  "deployments",
  "dataCentres",
  "organisations",
  "classes",
  "models",
  "enginePools",
  "services",
  "keyValueStores",
] as const;

/** The name of one of the configuration's lists. */
export type ListName = (typeof listNames)[number];

/** One item of a list. */
export interface Entry<Item> {
  /** Location in the file, for example `organisations[2]`. */
  readonly path: string;
  /** Also set for an item that the schema refuses, if it has a name. */
  readonly name: string | undefined;
  /** `undefined` if the schema refuses the item. */
  readonly item: Item | undefined;
}

/** All items of a configuration. */
export type ConfigurationEntries = {
  readonly [List in ListName]: readonly Entry<Configuration[List][number]>[];
} & { readonly limits: Configuration["limits"] | undefined };

const fieldOf = (value: unknown, field: string): unknown =>
  typeof value === "object" && value !== null
    ? Object.getOwnPropertyDescriptor(value, field)?.value
    : undefined;

const nameOf = (value: unknown): string | undefined => {
  const name = fieldOf(value, "name");
  return typeof name === "string" ? name : undefined;
};

const fieldSchemas = configurationSchema.shape;

const itemSchemas = {
  deployments: fieldSchemas.deployments.element,
  dataCentres: fieldSchemas.dataCentres.element,
  organisations: fieldSchemas.organisations.element,
  classes: fieldSchemas.classes.element,
  models: fieldSchemas.models.element,
  enginePools: fieldSchemas.enginePools.element,
  services: fieldSchemas.services.element,
  keyValueStores: fieldSchemas.keyValueStores.unwrap().element,
} as const;

const readEntries = <List extends ListName>(
  file: unknown,
  list: List,
): readonly Entry<Configuration[List][number]>[] => {
  const values = fieldOf(file, list);
  if (!Array.isArray(values)) return [];
  return values.map((value: unknown, index) => {
    const item = itemSchemas[list].safeParse(value).data as Configuration[List][number] | undefined;
    return { path: `${list}[${index}]`, name: nameOf(value), item };
  });
};

/** Lists the items of a file that the schema refuses, with the items that are valid by themselves. */
export const collectValidEntries = (file: unknown): ConfigurationEntries => ({
  deployments: readEntries(file, "deployments"),
  dataCentres: readEntries(file, "dataCentres"),
  organisations: readEntries(file, "organisations"),
  classes: readEntries(file, "classes"),
  models: readEntries(file, "models"),
  enginePools: readEntries(file, "enginePools"),
  services: readEntries(file, "services"),
  keyValueStores: readEntries(file, "keyValueStores"),
  limits: fieldSchemas.limits.safeParse(fieldOf(file, "limits")).data,
});

const listEntries = <Item extends { readonly name: string }>(
  list: ListName,
  items: readonly Item[],
): readonly Entry<Item>[] =>
  items.map((item, index) => ({ path: `${list}[${index}]`, name: item.name, item }));

/** Lists the items of a configuration that has passed the schema. */
export const listAllEntries = (configuration: Configuration): ConfigurationEntries => ({
  deployments: listEntries("deployments", configuration.deployments),
  dataCentres: listEntries("dataCentres", configuration.dataCentres),
  organisations: listEntries("organisations", configuration.organisations),
  classes: listEntries("classes", configuration.classes),
  models: listEntries("models", configuration.models),
  enginePools: listEntries("enginePools", configuration.enginePools),
  services: listEntries("services", configuration.services),
  keyValueStores: listEntries("keyValueStores", configuration.keyValueStores),
  limits: configuration.limits,
});
