/** Who yields where the bound over all bodies is reached, and who never does. */
import { describe, it } from "node:test";
import { expect } from "earl";
import type { BodyHold, DropReason } from "./bodyMemory.ts";
import { createBodyMemory, smallBodyBytes } from "./bodyMemory.ts";
import { MemoryMetrics } from "./MemoryMetrics.ts";

const megabyte = 1_000_000;

const bounds = {
  largeBytes: 8 * megabyte,
  totalBytes: 10 * megabyte,
  ownerBytes: 4 * megabyte,
  idleTimeout: 15_000,
} as const;

const createFixture = () => {
  let now = 0;
  const memory = createBodyMemory(
    () => bounds,
    new MemoryMetrics(),
    () => now,
  );
  const drops: string[] = [];
  const open = (name: string, owner: string): BodyHold => {
    const hold: BodyHold = memory.open(owner, (reason: DropReason) => {
      drops.push(`${name} ${reason}`);
      hold.release();
    });
    return hold;
  };
  /** Opens a body of which so many bytes have arrived. */
  const receive = (name: string, owner: string, bytes: number): BodyHold => {
    const hold = open(name, owner);
    hold.charge(bytes);
    hold.noteReceived(bytes);
    return hold;
  };
  return {
    memory,
    drops,
    open,
    receive,
    wait: (time: number) => {
      now += time;
    },
  };
};

describe("where bodies reach their bound", () => {
  it("the one of which nothing arrives for longest yields", () => {
    const { drops, receive, open, wait } = createFixture();
    receive("first", "one", 4 * megabyte);
    wait(1_500);
    receive("second", "two", 4 * megabyte);
    wait(1_500);
    expect(open("third", "three").charge(2 * megabyte)).toEqual(true);
    expect(drops).toEqual(["first memory"]);
  });

  it("a body that crawls yields before one that arrives fast", () => {
    const { drops, receive, open, wait } = createFixture();
    const crawling = receive("crawling", "one", 4 * megabyte);
    wait(9_000);
    const fast = receive("fast", "two", 3 * megabyte);
    wait(1_200);
    crawling.noteReceived(1);
    fast.noteReceived(megabyte);
    expect(open("third", "three").charge(2 * megabyte)).toEqual(true);
    expect(drops).toEqual(["crawling memory"]);
  });

  it("a body that is complete keeps its memory, and the new one is refused", () => {
    const { drops, receive, open, wait } = createFixture();
    receive("first", "one", 4 * megabyte).complete();
    receive("second", "two", 4 * megabyte).complete();
    wait(5_000);
    expect(open("third", "three").charge(2 * megabyte)).toEqual(false);
    expect(drops).toEqual([]);
  });

  it("small bodies find room beside large ones that can't yield", () => {
    const { receive, open } = createFixture();
    receive("first", "one", 4 * megabyte).complete();
    receive("second", "two", 4 * megabyte).complete();
    expect(open("small", "three").charge(smallBodyBytes)).toEqual(true);
  });

  it("small bodies that stand still yield to an ordinary one", () => {
    const { drops, receive, open, wait } = createFixture();
    for (let count = 0; count < 100; count += 1) receive(`standing-${count}`, "one", 100_000);
    wait(1_000);
    expect(open("ordinary", "two").charge(2_000)).toEqual(true);
    expect(drops).toEqual(["standing-0 memory"]);
  });

  it("an organisation can't take the share of others with large bodies", () => {
    const { drops, receive, open } = createFixture();
    receive("first", "one", 4 * megabyte).complete();
    expect(open("second", "one").charge(megabyte)).toEqual(false);
    expect(open("other", "two").charge(4 * megabyte)).toEqual(true);
    expect(drops).toEqual([]);
  });

  it("gives memory back once, however often a body is released", () => {
    const { memory, receive } = createFixture();
    const hold = receive("first", "one", megabyte);
    receive("second", "one", megabyte);
    hold.release();
    hold.release();
    expect(memory.heldBytes()).toEqual(megabyte);
  });
});

describe("bodies that arrive too slowly", () => {
  it("are dropped after the idle timeout without a byte, and when they crawl; others go on", () => {
    const { memory, drops, receive, wait } = createFixture();
    receive("idle", "one", 1_000);
    const crawling = receive("crawling", "one", 1_000);
    const steady = receive("steady", "one", 1_000);
    for (let second = 0; second < 17; second += 1) {
      wait(1_000);
      crawling.noteReceived(1);
      steady.noteReceived(2_000);
      memory.dropSlow();
    }
    expect(drops).toEqual(["idle slow", "crawling slow"]);
  });
});

describe("bodies in very small chunks", () => {
  it("are received two at a time, and one that stands still yields", () => {
    const { drops, receive, wait } = createFixture();
    expect(receive("first", "one", 1_000).admitFragments()).toEqual(true);
    expect(receive("second", "one", 1_000).admitFragments()).toEqual(true);
    expect(receive("third", "two", 1_000).admitFragments()).toEqual(false);
    wait(1_000);
    expect(receive("fourth", "two", 1_000).admitFragments()).toEqual(true);
    expect(drops).toEqual(["first fragmented"]);
  });
});
