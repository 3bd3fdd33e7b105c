/** Asks routers what operators want to know. */
import { z } from "zod";
import { operatorPaths, routerEnginesSchema, routerVersionSchema } from "../protocol/operator.ts";
import type { EngineView, RouterVersion } from "../protocol/operator.ts";
import { createPlatformHttpClient } from "./platformHttpClient.ts";

/** Calls to routers; each throws `PlatformError`. */
export interface OperatorClient {
  /** @param url - `http://IP:PORT` at which the router serves callers. */
  readVersion(url: string): Promise<RouterVersion>;
  readEngines(url: string): Promise<readonly EngineView[]>;
  /** Reads the router's whole state as JSON. */
  dump(url: string): Promise<unknown>;
}

/** What an operator client needs. */
export interface OperatorClientSettings {
  readonly operatorKey: string;
  /** Longest wait for an answer, milliseconds. */
  readonly timeout: number;
}

/** Creates a client that opens a connection for each call. */
export const createOperatorClient = ({ operatorKey, timeout }: OperatorClientSettings): OperatorClient => {
  const headers = { authorization: `Bearer ${operatorKey}` };

  const get = async <Schema extends z.ZodType>(
    url: string,
    path: string,
    answer: Schema,
  ): Promise<z.output<Schema>> => {
    await using http = createPlatformHttpClient({ url, timeout, headers });
    return await http.call({ method: "GET", path, answer });
  };

  return {
    readVersion: (url) => get(url, operatorPaths.version, routerVersionSchema),
    readEngines: async (url) => (await get(url, operatorPaths.engines, routerEnginesSchema)).engines,
    dump: (url) => get(url, operatorPaths.dump, z.unknown()),
  };
};
