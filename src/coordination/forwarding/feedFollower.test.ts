import { describe, it } from "node:test";
import { setImmediate as nextTick } from "node:timers/promises";
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

/** A feed with scripted responses to its reads; further reads stay open. */
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
  const settle = async (): Promise<void> => {
    for (let count = 0; count < 20; count += 1) await nextTick();
  };
  return { clock, feed, epochs, seen, follower, settle };
};

describe("feed follower", () => {
  // Proofs that count from when a held read was sent are older by the whole time for which it was held.
  it("confirms what it knows until the end of a read that the store held open", async () => {
    const { clock, feed, seen, settle } = start([page(5, true), page(6, true)]);
    let answerHeldRead: (answer: FeedPage<string>) => void = () => undefined;
    feed.answers.push(new Promise((resolve) => (answerHeldRead = resolve)));
    await settle();
    clock.advanceTo(1_003);
    answerHeldRead({ records: [], next: new StorePosition(1, 6), isComplete: true });
    await settle();
    expect(seen).toEqual(["all 1", "to 6", "proof 100", "to 6", "proof 995"]);
  });

  it("reads every key first, and confirms nothing before it has read the log to its end", async () => {
    const { feed, seen, settle } = start([page(5, true), page(7, false), page(8, true)]);
    await settle();
    expect(feed.asked).toEqual(["newest", "from 5 wait 0", "from 7 wait 0", "from 8 wait 900"]);
    expect(seen).toEqual(["all 1", "to 7", "to 8", "proof 100"]);
  });

  it("reads every key again if records were trimmed before it read them", async () => {
    const expired = platformError("trimmed", "expired", false);
    const { clock, feed, seen, settle } = start([page(5, true), page(6, true), expired, page(20, true)]);
    await settle();
    clock.advanceTo(1_000);
    await settle();
    expect(feed.asked.slice(2)).toEqual(["from 6 wait 900", "newest", "from 20 wait 0"]);
    expect(seen).toEqual(["all 1", "to 6", "proof 100", "all 1"]);
  });

  it("confirms as of the time when a read was sent, and not after a failed read", async () => {
    const lost = platformError("no answer", "unreachable", false);
    const { clock, feed, seen, settle } = start([page(5, true), page(6, true), lost, lost]);
    await settle();
    clock.advanceTo(150);
    await settle();
    feed.answers = [page(6, true)];
    clock.advanceTo(400);
    await settle();
    const proofs = seen.filter((line) => line.startsWith("proof"));
    expect(proofs[0]).toEqual("proof 100");
    expect(proofs.length).toEqual(2);
  });

  // Guards against waiting for the open long poll of the old epoch, and then continuing from its offset.
  it("reads every key again in a new epoch, without waiting for an open long poll", async () => {
    const { feed, epochs, seen, settle } = start([page(5, true), page(6, true)]);
    await settle();
    expect(feed.asked.at(-1)).toEqual("from 6 wait 900");
    feed.answers = [page(2, true, "copy", 2), page(3, true, "copy", 2)];
    epochs.observe(2);
    await settle();
    expect(feed.asked.slice(-3)).toEqual(["newest", "from 2 wait 0", "from 3 wait 900"]);
    expect(seen.slice(-3)).toEqual(["all 1", "to 3", "proof 100"]);
  });

  it("treats a log that ends before its position as a fault, and not as up to date", async () => {
    const beyond = platformError("ends before", "beyond_end", false);
    const { clock, feed, seen, settle } = start([page(5, true), page(6, true), beyond, page(3, true)]);
    await settle();
    clock.advanceTo(1_000);
    await settle();
    expect(feed.asked.slice(2)).toEqual(["from 6 wait 900", "newest", "from 3 wait 0"]);
    expect(seen).toEqual(["all 1", "to 6", "proof 100", "all 1"]);
  });

  it("keeps its position when the response to a check of an earlier epoch arrives late", async () => {
    const { feed, epochs, follower, settle } = start([page(5, true), page(6, true)]);
    await settle();
    let answerLate: (late: FeedPage<string>) => void = () => undefined;
    feed.answers = [
      new Promise((resolve) => {
        answerLate = resolve;
      }),
    ];
    const checked = follower.check();
    await settle();
    feed.answers = [page(2, true, "copy", 2), page(3, true, "copy", 2)];
    epochs.observe(2);
    await settle();
    answerLate(page(9, true, "late", 1));
    expect(await checked).toEqual(false);
    expect(follower.position()).toEqual(new StorePosition(2, 3));
  });
});
