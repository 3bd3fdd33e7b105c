import { platformError } from "./errors.ts";
import type { StoreEpoch } from "./storeEpoch.ts";

/**
 * A place in a topic of the store. Offsets can be had and compared only within one epoch: in the next one the same
 * offset may be that of another record.
 */
export class StorePosition {
  readonly epoch: StoreEpoch;
  private readonly offset: number;

  constructor(epoch: StoreEpoch, offset: number) {
    this.epoch = epoch;
    this.offset = offset;
  }

  /** @returns The offset; throws `PlatformError` if it was given out in another epoch. */
  offsetIn(epoch: StoreEpoch): number {
    if (epoch === this.epoch) return this.offset;
    throw platformError(`offset ${this.toString()} means nothing in epoch ${epoch}`, "epoch_ended", false);
  }

  /** Whether it lies before another one; throws `PlatformError` if that is of another epoch. */
  isBefore(other: StorePosition): boolean {
    return this.offset < other.offsetIn(this.epoch);
  }

  /** @returns The position so many records further on. */
  advancedBy(records: number): StorePosition {
    return new StorePosition(this.epoch, this.offset + records);
  }

  toString(): string {
    return `${this.offset} of epoch ${this.epoch}`;
  }

  /** Keeps operators from comparing positions or counting with them. */
  [Symbol.toPrimitive](hint: string): string {
    if (hint === "string") return this.toString();
    throw new TypeError(`The position ${this.toString()} can't be compared or counted with.`);
  }
}

/** @returns The later of two positions; of two epochs the position in the newer one. */
export const laterPosition = (left: StorePosition, right: StorePosition): StorePosition => {
  if (left.epoch !== right.epoch) return left.epoch > right.epoch ? left : right;
  return left.isBefore(right) ? right : left;
};
