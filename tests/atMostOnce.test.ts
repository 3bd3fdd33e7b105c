/** Non-idempotent requests run at most once under any fault; the tests count executions by idempotency key. */
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

const describeAnswer = async (
  system: LocalSystem,
  key: string,
  router = 0,
  attendant = 17,
): Promise<string> => {
  const { status, outcome, code } = await signOff(system, key, router, attendant);
  return outcome === null ? `${status}` : `${status} ${outcome} ${code ?? ""}`;
};

const countExecutions = (system: LocalSystem, key: string): number =>
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
  it("runs once if two routers receive it at the same time, and both return its answer", async () => {
    await using system = await startLocalSystem({ routers: 2, services: 2 });
    const key = newKey();
    const both = await Promise.all([describeAnswer(system, key, 0), describeAnswer(system, key, 1)]);
    expect(both).toEqual(["200", "200"]);
    expect(countExecutions(system, key)).toEqual(1);
  });

  it("does not run if its key was used with another body", async () => {
    await using system = await startLocalSystem({ routers: 2 });
    const key = newKey();
    expect(await describeAnswer(system, key, 0, 17)).toEqual("200");
    expect(await describeAnswer(system, key, 1, 18)).toEqual("422 not_run idempotency_key_reused");
    expect(countExecutions(system, key)).toEqual(1);
  });

  const faultsAfterExecution = ["loseAnswers", "garbage", "crossAnswers"] as const;
  for (const fault of faultsAfterExecution) {
    it(`is not retried after it may have run: ${fault}`, async () => {
      await using system = await startLocalSystem({ routers: 2, services: 2 });
      const key = newKey();
      setServiceFaults(system, { [fault]: 1 });
      expect(await describeAnswer(system, key, 0)).toEqual("502 outcome_unknown outcome_unknown");
      expect(await describeAnswer(system, key, 1)).toEqual("409 outcome_unknown already_claimed");
      expect(countExecutions(system, key)).toEqual(1);
    });
  }

  for (const fault of ["refuse", "leaving"] as const) {
    for (const index of [0, 1]) {
      it(`goes to the other replica if replica ${index} refuses it as not run: ${fault}`, async () => {
        await using system = await startLocalSystem({ services: 2 });
        const refusing = system.services[index];
        if (refusing !== undefined) refusing.faults[fault] = true;
        const key = newKey();
        expect(await describeAnswer(system, key)).toEqual("200");
        expect(system.services.map((service) => service.executions().length)).toEqual([index, 1 - index]);
      });
    }
  }

  it("is not_run if every replica refuses it, and its retry runs", async () => {
    await using system = await startLocalSystem({ routers: 2, services: 2 });
    const key = newKey();
    setServiceFaults(system, { refuse: true });
    const refused = await signOff(system, key);
    expect([refused.status, refused.outcome, refused.code]).toEqual([503, "not_run", "no_service_replica"]);
    expect(refused.answer.headers.get(headers.retryAfter)).toEqual("1");
    expect(countExecutions(system, key)).toEqual(0);
    setServiceFaults(system, { refuse: false });
    expect(await describeAnswer(system, key, 1)).toEqual("200");
    expect(countExecutions(system, key)).toEqual(1);
  });

  it("is not_run while the log is unavailable, and its retry runs", async () => {
    await using system = await startLocalSystem({ routers: 2 });
    const key = newKey();
    system.logService.faults.outage = true;
    const refused = await signOff(system, key);
    expect([refused.status, refused.outcome, refused.code]).toEqual([503, "not_run", "claims_unavailable"]);
    expect(refused.answer.headers.get(headers.retryAfter)).toEqual("5");
    expect(countExecutions(system, key)).toEqual(0);
    system.logService.faults.outage = false;
    expect(await describeAnswer(system, key, 1)).toEqual("200");
    expect(countExecutions(system, key)).toEqual(1);
  });

  it("runs while the log is unavailable if the service itself deduplicates by key", async () => {
    await using system = await startLocalSystem({
      services: 2,
      changeConfiguration: (configuration) => ({
        ...configuration,
        services: configuration.services.map((service) => ({ ...service, deduplicatesByKey: true })),
      }),
    });
    const key = newKey();
    system.logService.faults.outage = true;
    expect(await describeAnswer(system, key)).toEqual("200");
    expect(countExecutions(system, key)).toEqual(1);
    expect(await describeAnswer(system, `${Date.now() - 86_400_000}-too-old`)).toEqual(
      "409 outcome_unknown idempotency_key_too_old",
    );
  });

  it("runs once although responses to appends to the log are lost", async () => {
    await using system = await startLocalSystem({ routers: 2 });
    const key = newKey();
    system.logService.faults.loseAppendAnswers = 2;
    expect(await describeAnswer(system, key, 0)).toEqual("200");
    expect(await describeAnswer(system, key, 1)).toEqual("200");
    expect(countExecutions(system, key)).toEqual(1);
  });
});

describe("a client library with automatic retries", () => {
  const sendWithClient = async (system: LocalSystem, key: string, requestClass: string): Promise<string> => {
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

  it("does not retry a request that may have run", async () => {
    await using system = await startLocalSystem();
    for (const engine of system.engines) engine.faults.closeEarlyAfterTokens = 2;
    const key = newKey();
    expect(await sendWithClient(system, key, "sign-off")).toEqual("outcome_unknown");
    expect(countExecutions(system, key)).toEqual(1);
  });

  it("retries a request that has not run, which then runs once", async () => {
    await using system = await startLocalSystem();
    for (const engine of system.engines) engine.faults.leaving = true;
    const key = newKey();
    const asked = sendWithClient(system, key, "sign-off");
    await sleep(100);
    for (const engine of system.engines) engine.faults.leaving = false;
    expect(await asked).toEqual("answered");
    expect(countExecutions(system, key)).toEqual(1);
  });

  it("gets no hedged attempt for a slow non-idempotent request, although the class hedges", async () => {
    await using system = await startLocalSystem({ engineSettings: { tokenMilliseconds: 60 } });
    const key = newKey();
    expect(await sendWithClient(system, key, "currency-check")).toEqual("answered");
    expect(countExecutions(system, key)).toEqual(1);
  });
});
