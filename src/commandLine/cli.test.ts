import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { PassThrough } from "node:stream";
import { text } from "node:stream/consumers";
import { fileURLToPath } from "node:url";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { expect } from "earl";
import { createLogServiceStandIn } from "../../standIns/logService.ts";
import { createVmListStandIn } from "../../standIns/vmList.ts";
import { parseConfiguration } from "../protocol/configuration/check.ts";
import { digestSections, splitConfiguration } from "../protocol/configuration/sections.ts";
import type { ListedVm } from "../protocol/types.ts";
import { createCli } from "./cli.ts";
import { exitCodes } from "./exitCodes.ts";

const operatorKey = "operators-only";

const exampleFile = (name: string): string =>
  fileURLToPath(new URL(`../../../examples/${name}.json`, import.meta.url));

interface Run {
  readonly exitCode: number;
  readonly output: string;
  readonly errors: string;
}

/** Runs the client in the test's process. */
const runClient = async (arguments_: readonly string[], env: Record<string, string> = {}): Promise<Run> => {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const exitCode = await createCli(false).run([...arguments_], { stdout, stderr, env });
  stdout.end();
  stderr.end();
  return { exitCode, output: await text(stdout), errors: await text(stderr) };
};

const runJson = async (
  arguments_: readonly string[],
  env: Record<string, string>,
): Promise<{ exitCode: number; value: unknown }> => {
  const { exitCode, output } = await runClient([...arguments_, "--json"], env);
  return { exitCode, value: JSON.parse(output) };
};

/** A stand-in for a router that serves only the operators' views. */
const startRouter = async (views: Readonly<Record<string, unknown>>) => {
  const server = createServer((request, response) => {
    const known = request.headers.authorization === `Bearer ${operatorKey}`;
    const view = views[(request.url ?? "").replace("/operator/", "")];
    response.writeHead(known && view !== undefined ? 200 : 401).end(JSON.stringify(view ?? {}));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    [Symbol.asyncDispose]: async () => {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
    },
  };
};

const versionView = (configurationVersion: number | null, digest: string | null, ready = true) => ({
  version: {
    router: "r",
    dataCentre: "amman-north",
    incarnation: "i",
    configurationVersion,
    digest,
    ready,
  },
});

/** Starts stand-ins of the log service and the VM list, with the environment variables that point the client at them. */
const startPlatform = async () => {
  const log = await createLogServiceStandIn();
  const vmList = await createVmListStandIn();
  const env = {
    POMELOCLEAT_LOG_SERVICE: log.url,
    POMELOCLEAT_VM_LIST: vmList.url,
    POMELOCLEAT_OPERATOR_KEY: operatorKey,
    POMELOCLEAT_PUBLISHER: "layla",
  };
  return {
    log,
    env,
    list: vmList.set,
    [Symbol.asyncDispose]: async () => {
      await log[Symbol.asyncDispose]();
      await vmList[Symbol.asyncDispose]();
    },
  };
};

const routerVm = (id: string, url: string, dataCentre = "amman-north"): ListedVm => ({
  id,
  dataCentre,
  url,
  role: "router",
  pool: "",
  state: "live",
});

const publishExample = (name: string, env: Record<string, string>) =>
  runJson(["configuration", "publish", exampleFile(name)], env);

const digestOf = (value: unknown): string => (value as { digest: string }).digest;

describe("pomelocleat configuration", () => {
  it("checks a file without connecting to the platform", async () => {
    const { exitCode, value } = await runJson(["configuration", "check", exampleFile("demo")], {});
    expect(exitCode).toEqual(exitCodes.success);
    const digest = digestOf(value);
    expect(value).toEqual({ file: exampleFile("demo"), valid: true, sections: 25, digest });
  });

  it("lists all problems of a file", async () => {
    const directory = await mkdtemp(join(tmpdir(), "pomelocleat-"));
    const file = join(directory, "wrong.json");
    await writeFile(file, '{"schema": 2, "organisations": []}');
    const run = await runClient(["configuration", "check", file]);
    await rm(directory, { recursive: true });
    expect(run.exitCode).toEqual(exitCodes.invalidInput);
    expect(run.errors).toInclude(`${file}: schema: Invalid input: expected 1\n${file}: deployments:`);
    expect(run.output).toEqual("");
  });

  it("names the missing setting, and the invalid one", async () => {
    const missing = await runClient(["configuration", "history"]);
    expect(missing.exitCode).toEqual(exitCodes.invalidInput);
    expect(missing.errors).toInclude("No logService is known.");
    const wrong = await runClient(["configuration", "history", "--log-service", "here"]);
    expect(wrong.errors).toEqual("options: logService: Invalid URL\n");
  });

  it("publishes, shows and lists versions", async () => {
    await using platform = await startPlatform();
    const first = await publishExample("levant", platform.env);
    expect(first).toEqual({
      exitCode: exitCodes.success,
      value: { kind: "published", version: 0, digest: digestOf(first.value) },
    });
    expect((await publishExample("demo", platform.env)).exitCode).toEqual(exitCodes.success);
    const shown = await runClient(["configuration", "show", "--version", "0"], platform.env);
    const again = splitConfiguration(parseConfiguration(shown.output, "shown"));
    expect(digestSections(again)).toEqual(digestOf(first.value));
    const history = await runClient(["configuration", "history"], platform.env);
    expect(history.output).toInclude("In force: 1\n");
    expect(history.output.split("\n")[1]).toEqual(expect.includes("layla"));
    const absent = await runClient(["configuration", "show", "--version", "9"], platform.env);
    expect(absent.exitCode).toEqual(exitCodes.notFound);
  });

  it("reports that nothing has been published yet", async () => {
    await using platform = await startPlatform();
    const run = await runClient(["configuration", "show"], platform.env);
    expect([run.exitCode, run.errors]).toEqual([exitCodes.notFound, "No version has been published yet\n"]);
  });
});

describe("pomelocleat versions", () => {
  it("distinguishes routers that differ from those that have the version in force", async () => {
    await using platform = await startPlatform();
    const digest = digestOf((await publishExample("levant", platform.env)).value);
    const newer = digestOf((await publishExample("demo", platform.env)).value);
    await using upToDate = await startRouter(versionView(1, newer));
    await using behind = await startRouter(versionView(0, digest));
    await using empty = await startRouter(versionView(null, null, false));
    platform.list([
      routerVm("router-3", empty.url),
      routerVm("router-1", upToDate.url),
      routerVm("router-2", behind.url),
      routerVm("router-4", "http://127.0.0.1:1"),
    ]);
    const { exitCode, value } = await runJson(["versions"], platform.env);
    const { expected, routers } = value as {
      expected: unknown;
      routers: { router: string; reached: boolean; version: number; behindBy: number; ready: boolean }[];
    };
    expect(exitCode).toEqual(exitCodes.routersDiffer);
    expect(expected).toEqual({ source: "log", version: 1, digest: newer });
    expect(
      routers.map(({ router, reached, version, behindBy, ready }) => [
        router,
        reached,
        version,
        behindBy,
        ready,
      ]),
    ).toLooseEqual([
      ["router-1", true, 1, 0, true],
      ["router-2", true, 0, 1, true],
      ["router-3", true, null, 2, false],
      ["router-4", false, null, null, false],
    ]);
    platform.list([
      routerVm("router-1", upToDate.url),
      { ...routerVm("router-5", "http://127.0.0.1:1"), state: "leaving" },
      { ...routerVm("engine-1", "http://127.0.0.1:1"), role: "engine", pool: "modelli" },
    ]);
    expect((await runClient(["versions"], platform.env)).exitCode).toEqual(exitCodes.success);
  });

  it("compares with the newest router while the log is unavailable", async () => {
    await using platform = await startPlatform();
    await using older = await startRouter(versionView(3, "a"));
    await using newer = await startRouter(versionView(5, "b"));
    platform.list([routerVm("router-1", older.url), routerVm("router-2", newer.url)]);
    platform.log.faults.outage = true;
    const { exitCode, value } = await runJson(["versions"], platform.env);
    expect(exitCode).toEqual(exitCodes.routersDiffer);
    expect((value as { expected: unknown }).expected).toEqual({
      source: "routers",
      version: 5,
      digest: "b",
    });
  });
});

describe("pomelocleat dump", () => {
  it("prints a router's state, by id and by URL", async () => {
    await using platform = await startPlatform();
    await using router = await startRouter({ dump: { openRequests: 3 } });
    platform.list([routerVm("router-1", router.url)]);
    expect(await runJson(["dump", "router-1"], platform.env)).toEqual({
      exitCode: exitCodes.success,
      value: { openRequests: 3 },
    });
    const byUrl = await runClient(["dump", router.url], { POMELOCLEAT_OPERATOR_KEY: operatorKey });
    expect(JSON.parse(byUrl.output)).toEqual({ openRequests: 3 });
    const unknown = await runClient(["dump", "router-2"], platform.env);
    expect(unknown.exitCode).toEqual(exitCodes.notFound);
    const refused = await runClient(["dump", "router-1", "--operator-key", "guess"], platform.env);
    expect(refused.exitCode).toEqual(exitCodes.unreachable);
    expect(refused.errors).toInclude("status 401");
  });
});

describe("pomelocleat engines", () => {
  const engine = (id: string, dataCentre: string, running: number | null) => ({
    id,
    pool: "modelli",
    dataCentre,
    incarnation: "i",
    model: "modelli",
    weightsVersion: "1",
    running,
    waiting: 0,
    leaving: false,
    state: "live",
  });

  it("takes each engine's state from its own data centre", async () => {
    await using platform = await startPlatform();
    const there = { engines: [engine("engine-1", "catania-a", 4), engine("engine-2", "palermo-b", null)] };
    const elsewhere = {
      engines: [engine("engine-1", "catania-a", null), engine("engine-2", "palermo-b", 2)],
    };
    await using catania = await startRouter({ engines: there });
    await using palermo = await startRouter({ engines: elsewhere });
    platform.list([
      routerVm("router-1", "http://127.0.0.1:1", "catania-a"),
      routerVm("router-2", catania.url, "catania-a"),
      routerVm("router-3", palermo.url, "palermo-b"),
      routerVm("router-4", "http://127.0.0.1:1", "messina-c"),
    ]);
    const { exitCode, value } = await runJson(["engines"], platform.env);
    expect(exitCode).toEqual(exitCodes.unreachable);
    expect(value).toEqual({
      engines: [engine("engine-1", "catania-a", 4), engine("engine-2", "palermo-b", 2)],
      unreachable: ["messina-c"],
    });
  });
});
