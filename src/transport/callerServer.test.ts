/** Checks that an answer is read as fast as the caller reads it, and no further once the caller has disconnected. */
import { connect } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { FrontEnd } from "../protocol/FrontEnd.ts";
import type { AnswerBatch, CompletionAnswer } from "../protocol/FrontEnd.ts";
import { parseCompletionRequest } from "../protocol/completionRequest.ts";
import { refusals } from "../coordination/requests/refusals.ts";
import { MemoryMetrics } from "../state/MemoryMetrics.ts";
import { createTestIntake } from "../../tests/support/callerIntake.ts";
import { startCallerServer } from "./callerServer.ts";

const batchCharacters = 64 * 1024;
/** Far more than the socket buffers of one connection hold, far fewer than are read without backpressure. */
const maxBufferedBatches = 1_000;
const body = JSON.stringify({ model: "m", stream: true, messages: [{ role: "user", content: "Go on." }] });

/** Gives an endless answer, and counts the batches that were read of it. */
class EndlessFrontEnd extends FrontEnd {
  readonly read = { batches: 0, ended: false };

  override admitHead(): string {
    return "";
  }

  override complete(): Promise<CompletionAnswer> {
    return Promise.resolve({
      requestId: "request",
      request: parseCompletionRequest("chat", body, []),
      configurationVersion: 0,
      upstream: "engine",
      batches: this.batches(),
      eventId: () => "event",
    });
  }

  override callService(): never {
    throw refusals.unknownService("none");
  }

  override listModels(): readonly string[] {
    return [];
  }

  override isReady(): boolean {
    return true;
  }

  override readOperatorView(): unknown {
    return {};
  }

  private async *batches(): AsyncGenerator<AnswerBatch, void, void> {
    const text = "x".repeat(batchCharacters);
    try {
      for (;;) {
        this.read.batches += 1;
        const frames = [{ text, extra: undefined, finishReason: undefined, usage: undefined }];
        yield {
          frames,
          attempt: "a",
          engineId: "e",
          incarnation: "i",
          firstOffset: 0,
          precedingTextlessPieces: 0,
          attemptOffset: 0,
        };
        await Promise.resolve();
      }
    } finally {
      this.read.ended = true;
    }
  }
}

/** Waits until a number has not changed for 200 ms; returns it. */
const waitUntilStable = async (read: () => number): Promise<number> => {
  let unchanged = 0;
  let last = read();
  while (unchanged < 20) {
    await sleep(10);
    unchanged = read() === last ? unchanged + 1 : 0;
    last = read();
  }
  return last;
};

describe("the caller server", () => {
  it("reads an answer no faster than its caller does, and ends it when the caller disconnects", async () => {
    const frontEnd = new EndlessFrontEnd();
    await using server = await startCallerServer(frontEnd, {
      address: "127.0.0.1",
      port: 0,
      keepAlive: 5_000,
      intake: createTestIntake(),
      maxConnections: 100,
      metrics: new MemoryMetrics(),
    });
    const socket = connect(Number(new URL(server.url).port), "127.0.0.1");
    socket.pause();
    socket.write(
      `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
    while (frontEnd.read.batches === 0) await sleep(5);
    const bufferedBatches = await waitUntilStable(() => frontEnd.read.batches);
    expect(bufferedBatches).toBeLessThan(maxBufferedBatches);
    socket.destroy();
    while (!frontEnd.read.ended) await sleep(5);
    expect(await waitUntilStable(() => frontEnd.read.batches)).toBeLessThan(maxBufferedBatches);
  });
});
