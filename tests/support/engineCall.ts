import type { EngineCall } from "../../src/protocol/types.ts";

/** Creates a call to an engine. */
export const createCall = (attempt: string): EngineCall => ({
  attempt,
  organisation: "petra-wings",
  request: {
    kind: "chat",
    model: "model",
    adapter: undefined,
    stream: true,
    includeUsage: false,
    maximumTokens: 10,
    body: { messages: [{ role: "user", content: "question" }] },
    segments: [],
  },
  idempotencyKey: undefined,
  priority: 0,
  cacheSalt: "",
  delivered: { text: "", tokens: 0 },
  stallTimeout: 300,
});
