import { describe, it } from "node:test";
import { expect } from "earl";
import { guardCallback, onTaskFailure, runInBackground, runTask } from "./backgroundTasks.ts";
import type { LogFields } from "./log.ts";
import { setLogSink } from "./log.ts";

const fail = (): never => {
  throw new TypeError("it can't be done");
};

/** Counts the failures, and collects the log lines, of some work. */
const observe = async (work: () => unknown) => {
  const lines: LogFields[] = [];
  const tasks: string[] = [];
  setLogSink((part, event, fields) => {
    if (part === "tasks" && event === "failed") lines.push(fields);
  });
  const stop = onTaskFailure((task) => tasks.push(task));
  await work();
  stop();
  setLogSink(() => undefined);
  return { lines, tasks };
};

describe("tasks in the background", () => {
  it("report how they failed, whether they throw or reject, to nobody who started them", async () => {
    const { lines, tasks } = await observe(async () => {
      runInBackground("thrown", fail, "a");
      await runTask("rejected", () => Promise.reject(new Error("later")), "b");
      guardCallback<[string]>("called", fail, (key) => key)("c");
    });
    expect(tasks.toSorted()).toEqual(["called", "rejected", "thrown"]);
    const described = lines.map(({ task, key, reason }) => [task, key, String(reason).split("\n")[0]]);
    expect(described.toSorted()).toEqual([
      ["called", "c", "TypeError: it can't be done"],
      ["rejected", "b", "Error: later"],
      ["thrown", "a", "TypeError: it can't be done"],
    ]);
  });

  it("are counted each time, and logged once in a while for each key", async () => {
    const { lines, tasks } = await observe(() => {
      for (let run = 0; run < 100; run += 1) guardCallback("repeated", fail, () => `key-${run % 2}`)();
    });
    expect([tasks.length, lines.map(({ key }) => key)]).toEqual([100, ["key-0", "key-1"]]);
  });
});
