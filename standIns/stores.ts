/** Stand-ins for the weight store and for the store of exported KV caches. */
import { z } from "zod";
import { refusal } from "./errors.ts";
import { jsonAnswer, startServer, type Answer, type Exchange } from "./httpServer.ts";
import { commonFaults, commonSettings, milliseconds, type CommonFaults, type StandIn } from "./types.ts";
import { pause } from "./waiting.ts";

const faultsSchema = z.strictObject(commonFaults);

const weightStoreSettings = z.strictObject({
  ...commonSettings,
  /** Duration of one load with up to `simultaneousLoads` at a time; proportionally longer with more. */
  loadMilliseconds: milliseconds.default(0),
  simultaneousLoads: z.number().int().min(1).default(2),
});
export type WeightStoreStandInSettings = z.input<typeof weightStoreSettings>;

/** A running stand-in of the weight store. */
export interface WeightStoreStandIn extends StandIn<CommonFaults> {
  /** The highest number of loads that ran at the same time. */
  readonly mostSimultaneousLoads: () => number;
}

/** Starts a stand-in of the weight store. */
export const createWeightStoreStandIn = async (
  input: WeightStoreStandInSettings = {},
): Promise<WeightStoreStandIn> => {
  const settings = weightStoreSettings.parse(input);
  const counts = { loads: 0, loading: 0, mostSimultaneousLoads: 0 };
  const state = () => ({ ...counts });

  const load = async ({ parameters }: Exchange): Promise<Answer> => {
    counts.loads += 1;
    counts.loading += 1;
    counts.mostSimultaneousLoads = Math.max(counts.mostSimultaneousLoads, counts.loading);
    const slowdown = Math.max(1, counts.loading / settings.simultaneousLoads);
    await pause(settings.loadMilliseconds * slowdown, server.closed);
    counts.loading -= 1;
    return jsonAnswer(parameters);
  };

  const routes = [{ method: "GET", path: "/weights/:model/:version", handler: load }];
  const server = await startServer({ ...settings, faultsSchema, state, routes });
  const mostSimultaneousLoads = (): number => counts.mostSimultaneousLoads;
  return { ...server, kind: "weightStore", name: settings.name, state, mostSimultaneousLoads };
};

const keyValueStoreSettings = z.strictObject(commonSettings);
export type KeyValueStoreStandInSettings = z.input<typeof keyValueStoreSettings>;

/** Starts a stand-in of the KV cache store. */
export const createKeyValueStoreStandIn = async (
  input: KeyValueStoreStandInSettings = {},
): Promise<StandIn<CommonFaults>> => {
  const settings = keyValueStoreSettings.parse(input);
  const caches = new Map<string, string>();
  const counts = { puts: 0, gets: 0, misses: 0 };
  const state = () => ({ ...counts, caches: caches.size });

  const put = ({ parameters, body }: Exchange): Answer => {
    counts.puts += 1;
    caches.set(parameters.key ?? "", body.toString("utf8"));
    return jsonAnswer({});
  };

  const get = ({ parameters }: Exchange): Answer => {
    counts.gets += 1;
    const body = caches.get(parameters.key ?? "");
    if (body !== undefined) return { status: 200, headers: { "content-type": "application/json" }, body };
    counts.misses += 1;
    throw refusal(404, "unknown_cache");
  };

  const routes = [
    { method: "PUT", path: "/caches/:key", handler: put },
    { method: "GET", path: "/caches/:key", handler: get },
  ];
  const server = await startServer({ ...settings, faultsSchema, state, routes });
  return { ...server, kind: "keyValueStore", name: settings.name, state };
};
