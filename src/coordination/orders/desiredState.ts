/** Compares the state that an engine reports with the state that the configuration requires. */
import type { EnginePoolConfiguration } from "../../protocol/configuration/schema.ts";
import type { EngineLoad, EngineOrderAction } from "../../protocol/types.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import type { DesiredState } from "./types.ts";

/** @returns The state required of a pool's engines; undefined if the configuration does not define the pool's model. */
export const desiredStateOf = (
  index: ConfigurationIndex,
  pool: EnginePoolConfiguration,
): DesiredState | undefined => {
  const model = index.models.get(pool.model);
  if (model === undefined) return undefined;
  return {
    model: model.name,
    weightsVersion: model.weightsVersion,
    adapters: model.adapters.map(({ name, version }) => `${name}@${version}`),
    role: pool.role,
  };
};

const parseAdapter = (label: string): { readonly adapter: string; readonly version: string } => {
  const at = label.indexOf("@");
  return { adapter: label.slice(0, at), version: label.slice(at + 1) };
};

/** @returns The next change towards the desired state; undefined if the engine has reached it. */
export const nextChange = (load: EngineLoad, desired: DesiredState): EngineOrderAction | undefined => {
  const { model, weightsVersion, role } = desired;
  if (load.model !== model || load.weightsVersion !== weightsVersion) {
    return { kind: "load_weights", model, weightsVersion };
  }
  const missing = desired.adapters.find((label) => !load.adapters.includes(label));
  if (missing !== undefined) return { kind: "load_adapter", ...parseAdapter(missing) };
  if (role !== undefined && role !== load.role) return { kind: "set_role", role };
  return undefined;
};
