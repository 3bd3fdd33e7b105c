import { describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { expect } from "earl";
import { platformError } from "../../protocol/errors.ts";
import { RecordFeed } from "../../protocol/forwarding/RecordFeed.ts";
import type { FeedPage } from "../../protocol/forwarding/types.ts";
import { createManualClock } from "../manualClock.ts";
import { followFeed } from "./feedFollower.ts";

/** A feed whose reads a test answers one by one. */
class ScriptedFeed extends RecordFeed<string> {
  readonly asked: string[] = [];
  answers: (FeedPage<string> | Error)[] = [];

  override newest(): Promise<FeedPage<string>> {
    this.asked.push("newest");
    return this.next();
  }

  override changes(fromOffset: number, wait: number): Promise<FeedPage<string>> {
    this.asked.push(`from ${fromOffset} wait ${wait}`);
    return this.next();
  }

  override put(): Promise<void> {
    return Promise.resolve();
  }

  override drop(): Promise<void> {
    return Promise.resolve();
  }

  private next(): Promise<FeedPage<string>> {
    const answer = this.answers.shift();
    if (answer === undefined) return new Promise(() => undefined);
    return answer instanceof Error ? Promise.reject(answer) : Promise.resolve(answer);
  }
}

const page = (nextOffset: number, isComplete: boolean, value = "v"): FeedPage<string> => ({
  records: [{ offset: nextOffset - 1, key: "k", value }],
  nextOffset,
  isComplete,
});

const start = (answers: (FeedPage<string> | Error)[]) => {
  const clock = createManualClock(100);
  const feed = new ScriptedFeed();
  feed.answers = answers;
  const seen: string[] = [];
  const follower = followFeed({
    name: "test",
    feed,
    clock,
    wait: () => 900,
    pace: () => 0,
    replace: ({ records }) => seen.push(`all ${records.length}`),
    apply: ({ nextOffset }) => seen.push(`to ${nextOffset}`),
    confirm: (at) => seen.push(`proof ${at}`),
  });
  const turns = async (): Promise<void> => {
    for (let count = 0; count < 20; count += 1) await nextTurn();
  };
  return { clock, feed, seen, follower, turns };
};

describe("following a feed", () => {
  it("reads everything first, and takes nothing for proved before the log was read to its end", async () => {
    const { feed, seen, turns } = start([page(5, true), page(7, false), page(8, true)]);
    await turns();
    expect(feed.asked).toEqual(["newest", "from 5 wait 0", "from 7 wait 0", "from 8 wait 900"]);
    expect(seen).toEqual(["all 1", "to 7", "to 8", "proof 100"]);
  });

  it("reads everything anew where records were trimmed before they were read", async () => {
    const expired = platformError("trimmed", "expired", false);
    const { clock, feed, seen, turns } = start([page(5, true), page(6, true), expired, page(20, true)]);
    await turns();
    clock.advanceTo(1_000);
    await turns();
    expect(feed.asked.slice(2)).toEqual(["from 6 wait 900", "newest", "from 20 wait 0"]);
    expect(seen).toEqual(["all 1", "to 6", "proof 100", "all 1"]);
  });

  it("counts a proof from before its read, and has none from a read that failed", async () => {
    const lost = platformError("no answer", "unreachable", false);
    const { clock, feed, seen, turns } = start([page(5, true), page(6, true), lost, lost]);
    await turns();
    clock.advanceTo(150);
    await turns();
    feed.answers = [page(6, true)];
    clock.advanceTo(400);
    await turns();
    const proofs = seen.filter((line) => line.startsWith("proof"));
    expect(proofs[0]).toEqual("proof 100");
    expect(proofs.length).toEqual(2);
  });
});
