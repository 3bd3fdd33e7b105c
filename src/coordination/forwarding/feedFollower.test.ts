import { describe, it } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { expect } from "earl";
import { platformError } from "../../protocol/errors.ts";
import { RecordFeed } from "../../protocol/forwarding/RecordFeed.ts";
import type { FeedPage } from "../../protocol/forwarding/types.ts";
import { createManualClock } from "../manualClock.ts";
import { followFeed } from "./feedFollower.ts";
import type { StoreEpoch } from "../../protocol/storeEpoch.ts";
import { StorePosition } from "../../protocol/StorePosition.ts";
import { createStoreEpochs } from "../../state/storeEpochs.ts";
import { defaultEpoch } from "../../protocol/storeEpoch.ts";

/** A feed whose reads a test answers one by one. */
class ScriptedFeed extends RecordFeed<string> {
  readonly asked: string[] = [];
  answers: (FeedPage<string> | Promise<FeedPage<string>> | Error)[] = [];

  override newest(): Promise<FeedPage<string>> {
    this.asked.push("newest");
    return this.next();
  }

  override async changes(from: StorePosition, wait: number, signal?: AbortSignal): Promise<FeedPage<string>> {
    this.asked.push(`from ${from.offsetIn(from.epoch)} wait ${wait}`);
    const ended = new Promise<never>((_, reject) => {
      signal?.addEventListener("abort", () => reject(platformError("cut", "unreachable", false)));
    });
    return Promise.race([this.next(), ended]);
  }

  override put(): Promise<StoreEpoch> {
    return Promise.resolve(defaultEpoch);
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

const page = (nextOffset: number, isComplete: boolean, value = "v", epoch = 1): FeedPage<string> => ({
  records: [{ position: new StorePosition(epoch, nextOffset - 1), key: "k", value }],
  next: new StorePosition(epoch, nextOffset),
  isComplete,
});

const start = (answers: (FeedPage<string> | Error)[]) => {
  const clock = createManualClock(100);
  const feed = new ScriptedFeed();
  feed.answers = answers;
  const epochs = createStoreEpochs();
  epochs.observe(1);
  const seen: string[] = [];
  const follower = followFeed({
    name: "test",
    feed,
    epochs,
    clock,
    longPollTimeout: () => 900,
    readInterval: () => 0,
    replace: ({ records }) => seen.push(`all ${records.length}`),
    apply: ({ next }) => seen.push(`to ${next.offsetIn(next.epoch)}`),
    confirm: (at) => seen.push(`proof ${at}`),
  });
  const turns = async (): Promise<void> => {
    for (let count = 0; count < 20; count += 1) await nextTurn();
  };
  return { clock, feed, epochs, seen, follower, turns };
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

  // The read that was held would otherwise be waited for, and its offset kept.
  it("reads everything anew in a new epoch, without waiting for the read that is held back", async () => {
    const { feed, epochs, seen, turns } = start([page(5, true), page(6, true)]);
    await turns();
    expect(feed.asked.at(-1)).toEqual("from 6 wait 900");
    feed.answers = [page(2, true, "copy", 2), page(3, true, "copy", 2)];
    epochs.observe(2);
    await turns();
    expect(feed.asked.slice(-3)).toEqual(["newest", "from 2 wait 0", "from 3 wait 900"]);
    expect(seen.slice(-3)).toEqual(["all 1", "to 3", "proof 100"]);
  });

  it("takes a log that ends before its position for a fault, and not for the end of what is new", async () => {
    const beyond = platformError("ends before", "beyond_end", false);
    const { clock, feed, seen, turns } = start([page(5, true), page(6, true), beyond, page(3, true)]);
    await turns();
    clock.advanceTo(1_000);
    await turns();
    expect(feed.asked.slice(2)).toEqual(["from 6 wait 900", "newest", "from 3 wait 0"]);
    expect(seen).toEqual(["all 1", "to 6", "proof 100", "all 1"]);
  });

  it("keeps its position where a check of an earlier epoch is answered late", async () => {
    const { feed, epochs, follower, turns } = start([page(5, true), page(6, true)]);
    await turns();
    let answerLate: (late: FeedPage<string>) => void = () => undefined;
    feed.answers = [
      new Promise((resolve) => {
        answerLate = resolve;
      }),
    ];
    const checked = follower.check();
    await turns();
    feed.answers = [page(2, true, "copy", 2), page(3, true, "copy", 2)];
    epochs.observe(2);
    await turns();
    answerLate(page(9, true, "late", 1));
    expect(await checked).toEqual(false);
    expect(follower.position()).toEqual(new StorePosition(2, 3));
  });
});
