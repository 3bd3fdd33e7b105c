/** Requests marked non-idempotent, whatever fails: counted are executions by idempotency key. */
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import OpenAI from "openai";
import { headers } from "../src/protocol/constants.ts";
import { atMostOnceHeaders, startLocalSystem } from "./support/localSystem.ts";
import type { LocalSystem } from "./support/localSystem.ts";

const newKey = (): string => `${Date.now()}-${crypto.randomUUID()}`;

const signOff = async (system: LocalSystem, key: string, router = 0, attendant = 17) => {
  const answer = await system.call("/services/records-desk/sign-offs", {
    router,
    body: { attendant },
    headers: atMostOnceHeaders(key),
  });
  const body = (await answer.json()) as { readonly error?: { readonly code: string } };
  const outcome = answer.headers.get(headers.outcome);
  return { status: answer.status, outcome, code: body.error?.code, answer };
};

const told = async (system: LocalSystem, key: string, router = 0, attendant = 17): Promise<string> => {
  const { status, outcome, code } = await signOff(system, key, router, attendant);
  return outcome === null ? `${status}` : `${status} ${outcome} ${code ?? ""}`;
};

const runsOf = (system: LocalSystem, key: string): number =>
  [...system.services, ...system.engines]
    .flatMap((standIn): readonly { readonly idempotencyKey: string | undefined }[] => standIn.executions())
    .filter(({ idempotencyKey }) => idempotencyKey === key).length;

const setServiceFaults = (
  system: LocalSystem,
  faults: Partial<LocalSystem["services"][number]["faults"]>,
) => {
  for (const service of system.services) Object.assign(service.faults, faults);
};

describe("a sign-off", () => {
  it("runs once where two routers get it at the same moment, and both give its answer", async () => {
    await using system = await startLocalSystem({ routers: 2, services: 2 });
    const key = newKey();
    const both = await Promise.all([told(system, key, 0), told(system, key, 1)]);
    expect(both).toEqual(["200", "200"]);
    expect(runsOf(system, key)).toEqual(1);
  });

  it("does not run for another body under the same key", async () => {
    await using system = await startLocalSystem({ routers: 2 });
    const key = newKey();
    expect(await told(system, key, 0, 17)).toEqual("200");
    expect(await told(system, key, 1, 18)).toEqual("422 not_run idempotency_key_reused");
    expect(runsOf(system, key)).toEqual(1);
  });

  const unknowns = ["loseAnswers", "garbage", "crossAnswers"] as const;
  for (const fault of unknowns) {
    it(`is not tried again after it may have run: ${fault}`, async () => {
      await using system = await startLocalSystem({ routers: 2, services: 2 });
      const key = newKey();
      setServiceFaults(system, { [fault]: 1 });
      expect(await told(system, key, 0)).toEqual("502 outcome_unknown outcome_unknown");
      expect(await told(system, key, 1)).toEqual("409 outcome_unknown already_claimed");
      expect(runsOf(system, key)).toEqual(1);
    });
  }

  for (const fault of ["refuse", "leaving"] as const) {
    for (const index of [0, 1]) {
      it(`goes to the other replica where number ${index} refuses it as not run: ${fault}`, async () => {
        await using system = await startLocalSystem({ services: 2 });
        const refusing = system.services[index];
        if (refusing !== undefined) refusing.faults[fault] = true;
        const key = newKey();
        expect(await told(system, key)).toEqual("200");
        expect(system.services.map((service) => service.executions().length)).toEqual([index, 1 - index]);
      });
    }
  }

  it("is a true not_run where every replica refuses it, and the retry runs", async () => {
    await using system = await startLocalSystem({ routers: 2, services: 2 });
    const key = newKey();
    setServiceFaults(system, { refuse: true });
    const refused = await signOff(system, key);
    expect([refused.status, refused.outcome, refused.code]).toEqual([503, "not_run", "no_service_replica"]);
    expect(refused.answer.headers.get(headers.retryAfter)).toEqual("1");
    expect(runsOf(system, key)).toEqual(0);
    setServiceFaults(system, { refuse: false });
    expect(await told(system, key, 1)).toEqual("200");
    expect(runsOf(system, key)).toEqual(1);
  });

  it("is a true not_run while the log is away, and the retry runs", async () => {
    await using system = await startLocalSystem({ routers: 2 });
    const key = newKey();
    system.logService.faults.outage = true;
    const refused = await signOff(system, key);
    expect([refused.status, refused.outcome, refused.code]).toEqual([503, "not_run", "claims_unavailable"]);
    expect(refused.answer.headers.get(headers.retryAfter)).toEqual("5");
    expect(runsOf(system, key)).toEqual(0);
    system.logService.faults.outage = false;
    expect(await told(system, key, 1)).toEqual("200");
    expect(runsOf(system, key)).toEqual(1);
  });

  it("runs while the log is away where the service itself runs a key once", async () => {
    await using system = await startLocalSystem({
      services: 2,
      changeConfiguration: (configuration) => ({
        ...configuration,
        services: configuration.services.map((service) => ({ ...service, deduplicatesByKey: true })),
      }),
    });
    const key = newKey();
    system.logService.faults.outage = true;
    expect(await told(system, key)).toEqual("200");
    expect(runsOf(system, key)).toEqual(1);
    expect(await told(system, `${Date.now() - 86_400_000}-too-old`)).toEqual(
      "409 outcome_unknown idempotency_key_too_old",
    );
  });

  it("runs once although the answers of the log's appends are lost", async () => {
    await using system = await startLocalSystem({ routers: 2 });
    const key = newKey();
    system.logService.faults.loseAppendAnswers = 2;
    expect(await told(system, key, 0)).toEqual("200");
    expect(await told(system, key, 1)).toEqual("200");
    expect(runsOf(system, key)).toEqual(1);
  });
});

describe("a client library that repeats requests by itself", () => {
  const ask = async (system: LocalSystem, key: string, requestClass: string): Promise<string> => {
    const client = new OpenAI({
      baseURL: `${system.routers[0]?.url ?? ""}/v1`,
      apiKey: "demo-key-petra-wings",
      maxRetries: 3,
    });
    const messages = [{ role: "user" as const, content: "Sign off attendant 17." }];
    try {
      await client.chat.completions.create(
        { model: "records-assistant", max_completion_tokens: 8, messages },
        { headers: { ...atMostOnceHeaders(key), [headers.requestClass]: requestClass } },
      );
      return "answered";
    } catch (error) {
      return (error as { error?: { outcome?: string } }).error?.outcome ?? String(error);
    }
  };

  it("does not repeat what may have run", async () => {
    await using system = await startLocalSystem();
    for (const engine of system.engines) engine.faults.closeEarlyAfterTokens = 2;
    const key = newKey();
    expect(await ask(system, key, "sign-off")).toEqual("outcome_unknown");
    expect(runsOf(system, key)).toEqual(1);
  });

  it("repeats what has not run, which then runs once", async () => {
    await using system = await startLocalSystem();
    for (const engine of system.engines) engine.faults.leaving = true;
    const key = newKey();
    const asked = ask(system, key, "sign-off");
    await sleep(100);
    for (const engine of system.engines) engine.faults.leaving = false;
    expect(await asked).toEqual("answered");
    expect(runsOf(system, key)).toEqual(1);
  });

  it("gets no second attempt beside a slow one, though the class hedges", async () => {
    await using system = await startLocalSystem({ engineSettings: { tokenMilliseconds: 60 } });
    const key = newKey();
    expect(await ask(system, key, "currency-check")).toEqual("answered");
    expect(runsOf(system, key)).toEqual(1);
  });
});
