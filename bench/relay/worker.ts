/** Worker thread of the relay bench: an engine, or callers. Its work stays off the router's event loop. */
import { parentPort, workerData } from "node:worker_threads";
import { Agent } from "undici";
import { createEngineStandIn } from "../../standIns/engine/engine.ts";
import type { CallerReport, EngineReady, RelayWorkerData } from "./types.ts";

const model = "records-assistant";
const weightsVersion = "2026-05";

const startEngine = async (tokenMilliseconds: number): Promise<EngineReady> => {
  const engine = await createEngineStandIn({
    name: "records-assistant-0",
    model,
    weightsVersion,
    tokenMilliseconds,
    maximumRunning: 1000,
    maximumWaiting: 1000,
  });
  return { url: engine.url };
};

interface StreamMeasurement {
  readonly timeToFirstToken: number;
  readonly tokens: number;
}

const countEvents = (text: string): number =>
  text.split("\ndata: ").length - 1 + (text.startsWith("data: ") ? 1 : 0);

const readStream = async (
  pool: Agent,
  url: string,
  body: string,
  key: string,
): Promise<StreamMeasurement> => {
  const startedAt = performance.now();
  const attempt = crypto.randomUUID();
  const answer = await pool.request({
    origin: url,
    method: "POST",
    path: "/v1/chat/completions",
    headers: {
      authorization: `Bearer ${key}`,
      "content-type": "application/json",
      "x-attempt-id": attempt,
      "x-organisation": "petra-wings",
    },
    body,
  });
  let timeToFirstToken = 0;
  let text = "";
  for await (const bytes of answer.body) {
    if (timeToFirstToken === 0) timeToFirstToken = performance.now() - startedAt;
    text += (bytes as Buffer).toString("latin1");
  }
  return { timeToFirstToken, tokens: countEvents(text) };
};

/** Starts the streams one interval apart and reads each of them to its end. */
const callRouter = async (data: Extract<RelayWorkerData, { role: "caller" }>): Promise<CallerReport> => {
  const pool = new Agent({ connections: data.streams, pipelining: 1 });
  const body = JSON.stringify({
    model,
    stream: true,
    max_tokens: data.tokens,
    ignore_eos: true,
    messages: [
      { role: "system", content: "Rule: a record is valid for twelve months. ".repeat(100) },
      { role: "user", content: "Is attendant 17 current?" },
    ],
  });
  const measures = await Promise.all(
    Array.from({ length: data.streams }, async (_, index) => {
      await new Promise((resolve) => setTimeout(resolve, index * data.startInterval));
      return readStream(pool, data.url, body, data.key);
    }),
  );
  await pool.destroy();
  return {
    timesToFirstToken: measures.map((measure) => measure.timeToFirstToken),
    tokens: measures.reduce((sum, measure) => sum + measure.tokens, 0),
  };
};

const data = workerData as RelayWorkerData;
const message = data.role === "engine" ? await startEngine(data.tokenMilliseconds) : await callRouter(data);
parentPort?.postMessage(message);
