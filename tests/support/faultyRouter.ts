/** Entry point of a router whose probes of replicas fail in every way in which a task can fail. */
import { connectPlatform } from "../../platform/connect.ts";
import { runForwardingDaemon } from "../../src/daemons/forwardingDaemon.ts";
import type { ConnectPlatform } from "../../src/protocol/forwarding/ForwardingPlatform.ts";
import { settingsVariable } from "../../standIns/platform/platformSystem.ts";

const connectFaulty: ConnectPlatform = (address) => {
  const platform = connectPlatform(address);
  const { replicaClient } = platform;
  replicaClient.probeConnection = () => {
    // Nobody waits for this one.
    void Promise.reject(new Error("a promise that was left"));
    throw new Error("a probe that throws");
  };
  replicaClient.probeAnswer = () => Promise.reject(new Error("a probe that rejects"));
  return platform;
};

process.exitCode = await runForwardingDaemon(process.env[settingsVariable] ?? "", connectFaulty);
