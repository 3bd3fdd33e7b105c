import type { FeedRecord } from "../protocol/forwarding/types.ts";
import { reportTaskFailure } from "../state/backgroundTasks.ts";

/**
 * Applies records one after another. One that can't be applied is reported and left out: otherwise it would be read again
 * and again, and hold up all records after it.
 *
 * @param task - What fails where a record can't be applied.
 */
export const applyEach = <T>(
  task: string,
  records: readonly FeedRecord<T>[],
  apply: (record: FeedRecord<T>) => void,
): void => {
  for (const record of records) {
    try {
      apply(record);
    } catch (error) {
      reportTaskFailure(task, error, record.key);
    }
  }
};
