import { describe, it } from "node:test";
import { expect } from "earl";
import { parseForwardingSettings } from "./forwardingSettings.ts";

const settings = {
  name: "router-1",
  dataCentre: "amman-north",
  callers: "10.1.0.30:8782",
  readiness: "10.1.0.30:8789",
  metricsPort: 9464,
  peers: "10.1.0.30:7340",
  store: "10.200.1.7:8784",
  bounds: {
    keyRevocation: 5000,
    drain: 2000,
    lease: 3000,
    weights: 10000,
    shutdownGraceSeconds: 8,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    retryReserve: 56,
  },
};

const parse = (changes: Readonly<Record<string, unknown>>) =>
  parseForwardingSettings(JSON.stringify({ ...settings, ...changes }), "settings.json");

describe("the settings of a forwarding router", () => {
  it("are parsed with addresses split into IP and port, ignoring unknown fields", () => {
    const parsed = parse({ later: true });
    expect(parsed.callers).toEqual({ address: "10.1.0.30", port: 8782 });
    expect(parsed.bounds.retryReserve).toEqual(56);
  });

  it("are rejected with all problems and their paths", () => {
    expect(() => parse({ callers: "nowhere", bounds: { ...settings.bounds, lease: "long" } })).toThrow(
      /callers: must be IP:PORT\n.*bounds\.lease/s,
    );
    expect(() => parse({ callerBufferBytes: -1 })).toThrow(/callerBufferBytes/);
    expect(() => parse({ callerBufferBytes: "many" })).toThrow(/callerBufferBytes/);
    expect(() => parse({ store: "10.0.0.1:70000" })).toThrow(/store: must be IP:PORT/);
    expect(() => parseForwardingSettings("{", "settings.json")).toThrow(/settings\.json/);
  });

  it("are refused where a message or a socket can't hold them: the first message ended the router", () => {
    expect(() => parse({ name: "x".repeat(256) })).toThrow(/name/);
    expect(() => parse({ dataCentre: "\ud800" })).toThrow(/dataCentre/);
    expect(() => parse({ peers: "10.0.0.300:1" })).toThrow(/peers/);
    const { bounds } = parse({ bounds: { ...settings.bounds, weights: 1e12 } });
    expect(bounds.weights).toEqual(2 ** 31 - 1);
  });
});
