import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { createLogServiceStandIn } from "../../standIns/logService.ts";
import { configurationOf, publisher } from "../../tests/support/configuration.ts";
import { createReplacement, encodeConfigurationRecord } from "../protocol/configuration/record.ts";
import { logStreams } from "../protocol/constants.ts";
import { createConfigurationHistory } from "../state/configurationHistory.ts";
import { MemoryMetrics } from "../state/MemoryMetrics.ts";
import { createHttpLogService } from "../transport/httpLogService.ts";
import { systemClock } from "./clock.ts";
import { startConfigurationFollower } from "./configurationFollower.ts";
import { createLeaseHistory } from "./leases/leaseHistory.ts";
import { startRepublication } from "./republication.ts";

const retention = 3_000;
const longestWait = 10_000;

describe("restatement", () => {
  it("lets a reader that knows nothing start after every record of the publication has expired", async () => {
    await using logService = await createLogServiceStandIn({ retentionMilliseconds: retention });
    await using log = createHttpLogService({ url: logService.url, timeout: 1_000 });
    const published = createReplacement(configurationOf(1, 2), publisher);
    await log.append(logStreams.configuration, [encodeConfigurationRecord(published)]);
    const configuration = createConfigurationHistory();
    await using follower = startConfigurationFollower({
      log,
      history: configuration,
      longPoll: 20,
      retryInterval: 20,
    });
    await follower.started;
    const metrics = new MemoryMetrics();
    await using restatement = startRepublication({
      holder: "router-0",
      log,
      leases: createLeaseHistory(systemClock),
      configuration,
      clock: systemClock,
      metrics,
      retention,
      duration: () => 300,
      isCandidate: () => true,
    });
    const end = performance.now() + longestWait;
    const isFirstGone = (): boolean => (logService.records(logStreams.configuration)[0]?.offset ?? 0) > 0;
    let everEmpty = false;
    while (!isFirstGone() && performance.now() < end) {
      everEmpty ||= logService.records(logStreams.configuration).length === 0;
      await sleep(10);
    }
    expect(everEmpty).toEqual(false);
    expect(isFirstGone()).toEqual(true);
    const late = createConfigurationHistory();
    late.applyPage(0, await log.read(logStreams.configuration, 0, 100));
    expect(late.current()?.version).toEqual(0);
    expect(late.current()?.digest).toEqual(published.digest);
    expect(restatement.view().held).toEqual(true);
  });
});
