/**
 * The log service over HTTP:
 *
 * - `POST {url}/streams/NAME/records` with `{"records":[string]}` answers `{"offsets":[number]}`;
 * - `GET {url}/streams/NAME/records?from=N&limit=M&waitMilliseconds=W` answers a `LogPage`.
 */
import { z } from "zod";
import { platformError } from "../protocol/errors.ts";
import { LogService } from "../protocol/LogService.ts";
import { defaultEpoch } from "../protocol/storeEpoch.ts";
import type { AppendedRecords, LogPage } from "../protocol/types.ts";
import { createPlatformHttpClient } from "./platformHttpClient.ts";
import type { PlatformHttpSettings } from "./platformHttpClient.ts";

const offset = z.number().int().min(0);

const appendAnswer = z.object({ offsets: z.array(offset) });

const pageAnswer = z.object({
  records: z.array(z.object({ offset, appendedAt: z.number(), data: z.string() })),
  earliestOffset: offset,
  nextOffset: offset,
});

const recordsPath = (stream: string): string => `/streams/${encodeURIComponent(stream)}/records`;

/** Offsets rise within a page and start at the one asked for. */
const isOrdered = (page: z.output<typeof pageAnswer>, fromOffset: number): boolean =>
  page.records.every((record, index) => {
    const previous = page.records[index - 1]?.offset ?? fromOffset - 1;
    return record.offset > previous && record.offset < page.nextOffset;
  });

/**
 * Connects to the log service.
 *
 * @returns The log service; disposing it cuts calls in flight.
 */
export const createHttpLogService = (settings: PlatformHttpSettings): LogService & AsyncDisposable => {
  const http = createPlatformHttpClient(settings);

  class HttpLogService extends LogService implements AsyncDisposable {
    override async append(stream: string, records: readonly string[]): Promise<AppendedRecords> {
      const path = recordsPath(stream);
      const body = JSON.stringify({ records });
      const { offsets } = await http.call({ method: "POST", path, body, answer: appendAnswer });
      if (offsets.length === records.length) return { offsets, epoch: defaultEpoch };
      throw platformError(`POST ${path}: answer lacks offsets`, "malformed", true);
    }

    override async read(
      stream: string,
      fromOffset: number,
      limit: number,
      waitMilliseconds = 0,
    ): Promise<LogPage> {
      const query = `from=${fromOffset}&limit=${limit}&waitMilliseconds=${waitMilliseconds}`;
      const path = `${recordsPath(stream)}?${query}`;
      const page = await http.call({
        method: "GET",
        path,
        answer: pageAnswer,
        longPollTimeout: waitMilliseconds,
      });
      if (isOrdered(page, fromOffset)) return { ...page, epoch: defaultEpoch };
      throw platformError(`GET ${path}: records out of order`, "malformed", false);
    }

    [Symbol.asyncDispose](): Promise<void> {
      return Promise.resolve(http[Symbol.asyncDispose]());
    }
  }

  return new HttpLogService();
};
