/** The server's side towards callers that read slowly or go away. */
import { connect } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "earl";
import { FrontEnd } from "../protocol/FrontEnd.ts";
import type { AnswerBatch, CompletionAnswer } from "../protocol/FrontEnd.ts";
import { parseCompletionRequest } from "../protocol/completionRequest.ts";
import { refusals } from "../coordination/requests/refusals.ts";
import { startCallerServer } from "./callerServer.ts";

const batchCharacters = 64 * 1024;
/** Far above what the sockets of one connection hold, and far below what an endless answer would fill. */
const mostBatchesHeld = 1_000;
const body = JSON.stringify({ model: "m", stream: true, messages: [{ role: "user", content: "Go on." }] });

/** Answers without end, counting how far the answer has been read. */
class EndlessFrontEnd extends FrontEnd {
  readonly read = { batches: 0, ended: false };

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

/** Waits until a number has stopped changing for a while, and gives it. */
const settled = async (read: () => number): Promise<number> => {
  let unchanged = 0;
  let last = read();
  while (unchanged < 20) {
    await sleep(10);
    unchanged = read() === last ? unchanged + 1 : 0;
    last = read();
  }
  return last;
};

describe("the callers' server", () => {
  it("reads an answer no faster than its caller does, and ends it when the caller goes", async () => {
    const frontEnd = new EndlessFrontEnd();
    await using server = await startCallerServer(frontEnd, {
      address: "127.0.0.1",
      port: 0,
      keepAlive: 5_000,
    });
    const socket = connect(Number(new URL(server.url).port), "127.0.0.1");
    socket.pause();
    socket.write(
      `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
    while (frontEnd.read.batches === 0) await sleep(5);
    const held = await settled(() => frontEnd.read.batches);
    expect(held).toBeLessThan(mostBatchesHeld);
    socket.destroy();
    while (!frontEnd.read.ended) await sleep(5);
    expect(await settled(() => frontEnd.read.batches)).toBeLessThan(mostBatchesHeld);
  });
});
