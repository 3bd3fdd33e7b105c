import { Readable } from "node:stream";
import { describe, it } from "node:test";
import { expect } from "earl";
import type { ReplicaAnswer } from "../../protocol/forwarding/types.ts";
import { MemoryMetrics } from "../../state/MemoryMetrics.ts";
import type { AttemptPlan } from "./forwardAttempt.ts";
import { checkStreamEnd } from "./streamEnd.ts";

type Plan = Pick<AttemptPlan, "request" | "choice" | "lastEventId">;

/** Reads a stream without length, chunks and events. @returns Whether it counts as whole. */
const isWhole = async (ofCaller: string | undefined, ofAttempt: string | undefined): Promise<boolean> => {
  const answer = { head: { headers: [] }, framing: "connection", body: Readable.from([]) };
  const plan = {
    request: { id: "a", lastEventId: ofCaller },
    choice: { replica: { entry: { id: "b" } } },
    lastEventId: ofAttempt,
  };
  try {
    const chunks = checkStreamEnd(
      answer as unknown as ReplicaAnswer,
      plan as unknown as Plan,
      new MemoryMetrics(),
    );
    for await (const chunk of chunks) expect(chunk.length).toEqual(0);
    return true;
  } catch {
    return false;
  }
};

describe("a stream without length, chunks and events", () => {
  it("is whole only for a caller that resumes it: resumed by the router it hid that events were lost", async () => {
    expect(await isWhole("2", "2")).toEqual(true);
    expect(await isWhole(undefined, undefined)).toEqual(false);
    expect(await isWhole(undefined, "2")).toEqual(false);
    expect(await isWhole("1", "2")).toEqual(false);
  });
});
