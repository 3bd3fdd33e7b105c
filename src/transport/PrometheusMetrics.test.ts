import { describe, it } from "node:test";
import { expect } from "earl";
import { PrometheusMetrics } from "./PrometheusMetrics.ts";

describe("PrometheusMetrics", () => {
  it("exposes counters and histograms with their tags as text", async () => {
    const metrics = new PrometheusMetrics();
    metrics.count("requests", 1, { kind: "repeatable", outcome: "served" });
    metrics.count("requests", 2, { kind: "repeatable", outcome: "served" });
    metrics.time("first_token_ms", 120, { kind: "eventStream" });
    const text = await metrics.text();
    expect(text).toInclude('pomelocleat_requests_total{kind="repeatable",outcome="served"} 3');
    expect(text).toInclude('pomelocleat_first_token_ms_bucket{le="200",kind="eventStream"} 1');
    expect(text).toInclude('pomelocleat_first_token_ms_count{kind="eventStream"} 1');
    expect(metrics.snapshot()).toEqual({ "requests repeatable served": 3 });
  });

  it("exposes the present values of gauges, so that the series of a departed replica does not remain", async () => {
    const metrics = new PrometheusMetrics();
    let values = [
      { value: 46, tags: { replica: "first" } },
      { value: 112, tags: { replica: "second" } },
    ];
    metrics.observe("replica_prefill_rate", ["replica"], () => values);
    expect(await metrics.text()).toInclude('pomelocleat_replica_prefill_rate{replica="first"} 46');
    values = values.slice(1);
    const text = await metrics.text();
    expect(text).toInclude('pomelocleat_replica_prefill_rate{replica="second"} 112');
    expect(text.includes("first")).toEqual(false);
  });
});
