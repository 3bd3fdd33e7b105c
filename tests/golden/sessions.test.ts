/**
 * Complete sessions of both deployments, compared with golden files: requests, the upstreams that answered, every frame
 * and every error. Ids and times are normalised. `npm run golden` regenerates the files.
 */
import { readFile, writeFile } from "node:fs/promises";
import { describe, it } from "node:test";
import { expect } from "earl";
import { levantSession, trinacriaSession } from "../../demo/sessions.ts";
import type { SessionStep } from "../../demo/sessions.ts";
import { headers } from "../../src/protocol/constants.ts";
import { startLocalSystem } from "../support/localSystem.ts";
import type { LocalSystem } from "../support/localSystem.ts";

const folder = "tests/golden";
/** Contains the current time, since routers refuse keys that were issued long ago. */
const sessionKey = `${Date.now()}-golden-sign-off`;
const shownHeaders = [
  headers.configurationVersion,
  headers.upstream,
  headers.cachedTokens,
  headers.outcome,
  headers.retryAfter,
  headers.shouldRetry,
  "content-type",
];

/** Invalid requests of callers, and a sign-off sent a second time; their answers are part of the session. */
const levantInvalidRequests: readonly SessionStep[] = [
  { organisation: "stranger", requestClass: "currency-check", path: "/v1/chat/completions", body: {} },
  {
    organisation: "petra-wings",
    requestClass: "currency-check",
    path: "/v1/chat/completions",
    body: { model: "modelli", messages: [{ role: "user", content: "Not ours." }] },
  },
  {
    organisation: "petra-wings",
    requestClass: "sign-off",
    path: "/services/records-desk/sign-offs",
    body: { attendant: 17, drill: "slide" },
    once: true,
  },
];

/** Creates a function that replaces ids by names in the order of their appearance, and times by zero. */
const createNormaliser = () => {
  const names = new Map<string, string>();
  const nameOf = (id: string): string => {
    const name = names.get(id) ?? `id-${names.size + 1}`;
    names.set(id, name);
    return name;
  };
  return (text: string): string =>
    text
      .replaceAll(/^id: .*$/gm, "id: EVENT")
      .replaceAll(/[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}/g, nameOf)
      .replaceAll(/"created":\d+/g, '"created":0');
};

const maxShownLength = 60;

/** Shortens long prompts to their beginning and length. */
const shorten = (_key: string, value: unknown): unknown =>
  typeof value === "string" && value.length > maxShownLength
    ? `${value.slice(0, maxShownLength)}… (${value.length} characters)`
    : value;

const stepHeaders = (step: SessionStep): Record<string, string> => ({
  [headers.requestClass]: step.requestClass,
  ...(step.once === true
    ? { [headers.idempotent]: "false", [headers.idempotencyKey]: sessionKey }
    : {}),
});

const playStep = async (system: LocalSystem, step: SessionStep, index: number): Promise<string> => {
  const { organisation, path, body } = step;
  const router = index % system.routers.length;
  const answer = await system.call(path, { organisation, router, body, headers: stepHeaders(step) });
  const shown = shownHeaders.flatMap((name) => {
    const value = answer.headers.get(name);
    return value === null ? [] : [`${name}: ${value}`];
  });
  const text = await answer.text();
  return [
    `### ${organisation} ${step.requestClass} POST ${path}`,
    JSON.stringify(body, shorten),
    `--> ${answer.status}`,
    ...shown,
    text,
  ].join("\n");
};

const playSession = async (system: LocalSystem, steps: readonly SessionStep[]): Promise<string> => {
  const normalise = createNormaliser();
  const played: string[] = [];
  for (const [index, step] of steps.entries()) played.push(await playStep(system, step, index));
  return normalise(`${played.join("\n\n")}\n`);
};

const compare = async (name: string, session: string): Promise<void> => {
  const file = `${folder}/${name}.golden.txt`;
  if (process.env.POMELOCLEAT_WRITE_GOLDEN === "1") await writeFile(file, session);
  expect(session).toEqual(await readFile(file, "utf8"));
};

/**
 * The choice of engine must not depend on time. So loads are read only once, and requests are not hedged: on a busy
 * machine a hedge would start, and its engine might answer.
 */
const startSystem = () =>
  startLocalSystem({
    routers: 2,
    allPools: true,
    routerSettings: { loadInterval: 600_000 },
    changeConfiguration: (configuration) => ({
      ...configuration,
      classes: configuration.classes.map((item) => ({ ...item, hedgeAfter: undefined })),
    }),
  });

describe("golden sessions", () => {
  it("match the golden file of Levant", async () => {
    await using system = await startSystem();
    await compare("levant", await playSession(system, [...levantSession, ...levantInvalidRequests]));
  });

  it("match the golden file of Trinacria", async () => {
    await using system = await startSystem();
    await compare("trinacria", await playSession(system, trinacriaSession));
  });
});
