/** What must hold whatever went wrong, on the records of callers and stand-ins. */
import { outcomes } from "../src/protocol/constants.ts";
import type { Execution } from "../tests/processes/standInControl.ts";
import type { SoakRecord, Violation } from "./types.ts";

const isStream = ({ request: asked }: SoakRecord): boolean => !asked.path.startsWith("/services/");

const checkRunsOnce = (executions: ReadonlyMap<string, number>): readonly Violation[] =>
  [...executions]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => ({ promise: "runs at most once", detail: `${key} ran ${count} times` }));

/** A key whose every try was refused as not run, over connections that were never cut, has not run. */
const checkNotRun = (
  records: readonly SoakRecord[],
  executions: ReadonlyMap<string, number>,
): readonly Violation[] =>
  records
    .filter(({ request: asked, tries }) => {
      const isRefused = tries.every(({ outcome }) => outcome === outcomes.notRun);
      return isRefused && asked.key !== undefined && (executions.get(asked.key) ?? 0) > 0;
    })
    .map(({ request: asked }) => ({
      promise: "not_run is true",
      detail: `${asked.key ?? ""} was refused and ran`,
    }));

const checkAnswers = (records: readonly SoakRecord[]): readonly Violation[] =>
  records.flatMap((record) => {
    const answered = record.tries.filter(({ outcome }) => outcome === "answered");
    const wrong = answered.filter(({ text }) =>
      isStream(record) ? text !== record.expected : !text.includes(record.expected),
    );
    return wrong.map(({ router, text }) => ({
      promise: "each caller gets the whole answer to its own request",
      detail: `${router}: ${JSON.stringify(record.request)}: got ${text.length} characters: ${text.slice(0, 200)}`,
    }));
  });

/** What a caller has of a stream that was cut is the beginning of its answer. */
const checkBeginnings = (records: readonly SoakRecord[]): readonly Violation[] =>
  records.filter(isStream).flatMap(({ expected, tries }) =>
    tries
      .filter(({ status, text }) => (status === 0 || status === 200) && !expected.startsWith(text))
      .map(({ router, text }) => ({
        promise: "every stream is in order",
        detail: `${router}: got ${text.slice(0, 200)}`,
      })),
  );

const checkTyped = (records: readonly SoakRecord[]): readonly Violation[] =>
  records.flatMap(({ tries }) =>
    tries
      .filter(({ outcome }) => outcome === "untyped" || outcome === "")
      .map(({ router, status, text }) => ({
        promise: "every failure is typed",
        detail: `${router}: ${status} ${text.slice(0, 200)}`,
      })),
  );

/** @returns All that is wrong. */
export const findViolations = (
  records: readonly SoakRecord[],
  executions: readonly Execution[],
): readonly Violation[] => {
  const counts = new Map<string, number>();
  for (const { idempotencyKey } of executions) {
    if (idempotencyKey !== undefined) counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
  }
  const keyed = new Map(
    [...counts].filter(([key]) => records.some(({ request: asked }) => asked.key === key)),
  );
  return [
    ...checkRunsOnce(keyed),
    ...checkNotRun(records, keyed),
    ...checkAnswers(records),
    ...checkBeginnings(records),
    ...checkTyped(records),
  ];
};
