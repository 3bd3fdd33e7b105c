/** What routers answer operators on their caller port, with `Authorization: Bearer OPERATORKEY`. */
import { z } from "zod";

/** Where a router answers operators. */
export const operatorPaths = {
  version: "/operator/version",
  dump: "/operator/dump",
  engines: "/operator/engines",
} as const;

/** The configuration that a router has in force. */
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

/** The engines as a router sees them; what it does not know yet is null. */
export const routerEnginesSchema = z.object({ engines: z.array(engineViewSchema) });
export type EngineView = Readonly<z.output<typeof engineViewSchema>>;
