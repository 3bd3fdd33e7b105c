/** A stand-in for the store of kept KV cache. */
import { z } from "zod";
import { refusal } from "./errors.ts";
import { jsonAnswer, startServer, type Answer, type Exchange } from "./httpServer.ts";
import { commonFaults, commonSettings, type StandIn } from "./types.ts";

const settingsSchema = z.strictObject(commonSettings);
export type KeyValueStoreStandInSettings = z.input<typeof settingsSchema>;

const faultsSchema = z.strictObject(commonFaults);
export type KeyValueStoreStandInFaults = z.output<typeof faultsSchema>;

/** A running stand-in of the KV cache store. */
export type KeyValueStoreStandIn = StandIn<KeyValueStoreStandInFaults>;

/** Starts a stand-in of the KV cache store. */
export const createKeyValueStoreStandIn = async (
  input: KeyValueStoreStandInSettings = {},
): Promise<KeyValueStoreStandIn> => {
  const settings = settingsSchema.parse(input);
  const caches = new Map<string, string>();
  const counts = { puts: 0, gets: 0, misses: 0 };

  const put = ({ parameters, body }: Exchange): Answer => {
    counts.puts += 1;
    caches.set(parameters.key ?? "", body.toString("utf8"));
    return jsonAnswer({});
  };

  const get = ({ parameters }: Exchange): Answer => {
    counts.gets += 1;
    const cache = caches.get(parameters.key ?? "");
    if (cache !== undefined) {
      return { status: 200, headers: { "content-type": "application/json" }, body: cache };
    }
    counts.misses += 1;
    throw refusal(404, "unknown_cache");
  };

  const state = (): Record<string, unknown> => ({ ...counts, caches: caches.size });
  const server = await startServer({
    ...settings,
    faultsSchema,
    state,
    routes: [
      { method: "PUT", path: "/caches/:key", handler: put },
      { method: "GET", path: "/caches/:key", handler: get },
    ],
  });
  return { ...server, kind: "keyValueStore", name: settings.name, state };
};
