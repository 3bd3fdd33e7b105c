import { expect } from "earl";
import { describe, it } from "node:test";
import { createServiceStandIn } from "./service.ts";

const signOff = (url: string): Promise<Response> =>
  fetch(`${url}/sign-offs`, {
    method: "POST",
    headers: { "idempotency-key": "key", "x-attempt-id": "attempt" },
    body: "signed",
  });

describe("service stand-in", () => {
  it("records executions whose answers are lost", async () => {
    await using service = await createServiceStandIn();
    service.faults.loseAnswers = 1;
    await expect(signOff(service.url)).toBeRejected();
    await signOff(service.url);
    expect(service.executions().map(({ idempotencyKey }) => idempotencyKey)).toEqual(["key", "key"]);
  });

  it("executes an idempotency key once if it deduplicates by key", async () => {
    await using service = await createServiceStandIn({ deduplicatesByKey: true });
    const first: unknown = await (await signOff(service.url)).json();
    expect(await (await signOff(service.url)).json()).toEqual(first);
    expect(service.executions().length).toEqual(1);
  });

  it("sends invalid HTTP and answers with another attempt's id", async () => {
    await using service = await createServiceStandIn();
    service.faults.garbage = 1;
    await expect(signOff(service.url)).toBeRejected();
    service.faults.crossAnswers = 1;
    expect((await signOff(service.url)).headers.get("x-attempt-id") === "attempt").toEqual(false);
    expect((await signOff(service.url)).headers.get("x-attempt-id")).toEqual("attempt");
  });

  it("declares refused requests as not run and does not execute them", async () => {
    await using service = await createServiceStandIn();
    service.faults.refuse = true;
    const answer = await signOff(service.url);
    expect([answer.status, answer.headers.get("x-pomelocleat-outcome")]).toEqual([503, "not_run"]);
    expect(service.executions().length).toEqual(0);
  });
});
