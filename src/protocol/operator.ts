/** The operators' API on a router's caller port; requests need `Authorization: Bearer OPERATORKEY`. */
import { z } from "zod";

/** HTTP paths of the operators' API. */
export const operatorPaths = {
  version: "/operator/version",
  dump: "/operator/dump",
  engines: "/operator/engines",
} as const;

/** The router's identity, readiness and the configuration version that it has in force; null if it has none yet. */
export const routerVersionSchema = z.object({
  router: z.string(),
  dataCentre: z.string(),
  incarnation: z.string(),
  configurationVersion: z.number().int().nullable(),
  digest: z.string().nullable(),
  ready: z.boolean(),
});
export type RouterVersion = Readonly<z.output<typeof routerVersionSchema>>;

const engineViewSchema = z.looseObject({
  id: z.string(),
  pool: z.string(),
  dataCentre: z.string(),
  incarnation: z.string().nullable(),
  model: z.string().nullable(),
  weightsVersion: z.string().nullable(),
  running: z.number().nullable(),
  waiting: z.number().nullable(),
  leaving: z.boolean(),
  state: z.string(),
});

/** The state of the engines as the router knows it; null stands for values that it does not know yet. */
export const routerEnginesSchema = z.object({ engines: z.array(engineViewSchema) });
export type EngineView = Readonly<z.output<typeof engineViewSchema>>;
