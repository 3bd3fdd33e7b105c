/** A stand-in for the weight store, which is rate-limited and slows when asked for too much at once. */
import { z } from "zod";
import { jsonAnswer, startServer, type Answer, type Exchange } from "./httpServer.ts";
import { commonFaults, commonSettings, milliseconds, type StandIn } from "./types.ts";
import { pause } from "./waiting.ts";

const settingsSchema = z.strictObject({
  ...commonSettings,
  /** Time of one load while no more than `simultaneousLoads` run. */
  loadMilliseconds: milliseconds.default(0),
  simultaneousLoads: z.number().int().min(1).default(2),
});
export type WeightStoreStandInSettings = z.input<typeof settingsSchema>;

const faultsSchema = z.strictObject(commonFaults);
export type WeightStoreStandInFaults = z.output<typeof faultsSchema>;

/** A running stand-in of the weight store. */
export interface WeightStoreStandIn extends StandIn<WeightStoreStandInFaults> {
  /** The most loads that ever ran at once. */
  readonly mostSimultaneousLoads: () => number;
}

/** Starts a stand-in of the weight store. */
export const createWeightStoreStandIn = async (
  input: WeightStoreStandInSettings = {},
): Promise<WeightStoreStandIn> => {
  const settings = settingsSchema.parse(input);
  const counts = { loads: 0, loading: 0, mostSimultaneousLoads: 0 };

  const load = async ({ parameters }: Exchange): Promise<Answer> => {
    counts.loads += 1;
    counts.loading += 1;
    counts.mostSimultaneousLoads = Math.max(counts.mostSimultaneousLoads, counts.loading);
    const slowdown = Math.max(1, counts.loading / settings.simultaneousLoads);
    try {
      await pause(settings.loadMilliseconds * slowdown, server.closed);
    } finally {
      counts.loading -= 1;
    }
    return jsonAnswer({ model: parameters.model, version: parameters.version });
  };

  const state = (): Record<string, unknown> => ({ ...counts });
  const server = await startServer({
    ...settings,
    faultsSchema,
    state,
    routes: [{ method: "GET", path: "/weights/:model/:version", handler: load }],
  });
  return {
    ...server,
    kind: "weightStore",
    name: settings.name,
    state,
    mostSimultaneousLoads: () => counts.mostSimultaneousLoads,
  };
};
