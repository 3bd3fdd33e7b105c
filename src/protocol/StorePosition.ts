import { platformError } from "./errors.ts";
import type { StoreEpoch } from "./storeEpoch.ts";

/**
 * A position in a topic of the store: an offset with the epoch that assigned it. Offsets are valid only within one
 * epoch, since the next epoch may assign the same offset to another record.
 */
export class StorePosition {
  readonly epoch: StoreEpoch;
  private readonly offset: number;

  constructor(epoch: StoreEpoch, offset: number) {
    this.epoch = epoch;
    this.offset = offset;
  }

  /** @returns The offset; throws `PlatformError` if it was assigned in another epoch. */
  offsetIn(epoch: StoreEpoch): number {
    if (epoch === this.epoch) return this.offset;
    throw platformError(`offset ${this.toString()} is not valid in epoch ${epoch}`, "epoch_ended", false);
  }

  /** Whether this position precedes another one; throws `PlatformError` if their epochs differ. */
  isBefore(other: StorePosition): boolean {
    return this.offset < other.offsetIn(this.epoch);
  }

  /** @returns The position that is a number of records further on. */
  advancedBy(records: number): StorePosition {
    return new StorePosition(this.epoch, this.offset + records);
  }

  toString(): string {
    return `${this.offset} of epoch ${this.epoch}`;
  }

  /** Makes comparison operators and arithmetic throw, since they would ignore the epoch. */
  [Symbol.toPrimitive](hint: string): string {
    if (hint === "string") return this.toString();
    throw new TypeError(`The position ${this.toString()} cannot be compared or used in arithmetic.`);
  }
}

/** @returns The later of two positions: the one in the newer epoch, or the one with the higher offset. */
export const laterPosition = (left: StorePosition, right: StorePosition): StorePosition => {
  if (left.epoch !== right.epoch) return left.epoch > right.epoch ? left : right;
  return left.isBefore(right) ? right : left;
};
