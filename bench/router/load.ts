/** Callers that keep a pace: prompts and plain requests in the shares of a deployment, on connections that are kept. */
import type { IncomingMessage } from "node:http";
import { Agent, request as httpRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { callHeaders, hosts, keys, createPromptHeaders } from "../../standIns/platform/platformSystem.ts";
import type { RouterSlot } from "../../soak/platform/soakSystem.ts";
import type { Random } from "../model/random.ts";

/** A kind of request. */
interface Kind {
  readonly name: "ask" | "tag" | "read";
  /** Of all requests, 0 to 1. */
  readonly share: number;
  /** Shared texts to choose from, and the tokens of one; none for plain requests. */
  readonly texts?: { readonly count: number; readonly tokens: number; readonly ownTokens: number };
  readonly bodyBytes: number;
}

const shortPrompts: Kind = {
  name: "tag",
  share: 0.68,
  texts: { count: 5_217, tokens: 227, ownTokens: 1_800 },
  bodyBytes: 2_400,
};

/** The mix of a deployment of 58 routers with 103 long and 654 short prompts and 204 plain requests a second. */
const kinds: readonly Kind[] = [
  {
    name: "ask",
    share: 0.11,
    texts: { count: 1_430, tokens: 4_870, ownTokens: 6_610 },
    bodyBytes: 12_000,
  },
  shortPrompts,
  { name: "read", share: 0.21, bodyBytes: 0 },
];

/** Tokens of the part that all prompts begin with, and of an answer. */
const commonTokens = 512;
const answerTokens = 64;

/** Milliseconds. */
const patience = 5_000;

/** What came of a load. */
export interface LoadResult {
  readonly sent: number;
  readonly succeeded: number;
}

const pickKind = (random: Random): Kind => {
  let point = random.uniform();
  for (const kind of kinds) {
    point -= kind.share;
    if (point < 0) return kind;
  }
  return shortPrompts;
};

const headersOf = ({ name, texts }: Kind, id: string, random: Random): Record<string, string> => {
  const common = {
    host: name === "read" ? hosts.desk : hosts.model,
    ...callHeaders(id, keys.known, patience),
  };
  if (texts === undefined) return common;
  const text = random.index(texts.count);
  return {
    ...common,
    ...createPromptHeaders(
      [
        { id: "rules", tokens: commonTokens },
        { id: `${name}${text}`, tokens: texts.tokens },
        { id, tokens: texts.ownTokens },
      ],
      answerTokens,
    ),
  };
};

const sendOne = (place: RouterSlot, agent: Agent, id: string, random: Random): Promise<boolean> =>
  new Promise((resolve) => {
    const kind = pickKind(random);
    const method = kind.name === "read" ? "GET" : "POST";
    const take = (response: IncomingMessage): void => {
      response.resume();
      response.on("end", () => resolve(response.statusCode === 200));
      response.on("error", () => resolve(false));
    };
    const headers = headersOf(kind, id, random);
    const request = httpRequest(place.url, { agent, method, path: `/${kind.name}/${id}`, headers }, take);
    request.on("error", () => resolve(false));
    request.end("x".repeat(kind.bodyBytes));
  });

/** Sends requests to every router at a pace, and waits until they have ended. @param perSecond - To each router. */
export const sendLoad = async (
  routers: readonly RouterSlot[],
  perSecond: number,
  seconds: number,
  random: Random,
): Promise<LoadResult> => {
  const targets = routers.map((place) => ({ place, agent: new Agent({ keepAlive: true }) }));
  const results: Promise<boolean>[] = [];
  const count = perSecond * seconds;
  const begunAt = performance.now();
  for (let index = 0; index < count; index += 1) {
    for (const { place, agent } of targets) {
      results.push(sendOne(place, agent, `bench-${perSecond}-${place.name}-${index}`, random));
    }
    await sleep(Math.max(0, begunAt + ((index + 1) / perSecond) * 1_000 - performance.now()));
  }
  const ended = await Promise.all(results);
  for (const { agent } of targets) agent.destroy();
  return { sent: ended.length, succeeded: ended.filter(Boolean).length };
};
