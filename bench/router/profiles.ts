/** Summarises the CPU profiles that routers write at exit. */
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { z } from "zod";

/** Self time of a function, i.e. excluding its callees. */
export interface FunctionShare {
  /** Function name, file and line. */
  readonly place: string;
  /** Share of the CPU time of all profiles, 0 to 1. */
  readonly share: number;
}

const profileSchema = z.object({
  nodes: z.array(
    z.object({
      id: z.number(),
      callFrame: z.object({ functionName: z.string(), url: z.string(), lineNumber: z.number() }),
    }),
  ),
  samples: z.array(z.number()),
  timeDeltas: z.array(z.number()),
});

type Profile = z.output<typeof profileSchema>;

/** Profile entries for idle time, which is not CPU time of the process. */
const idlePlaces: ReadonlySet<string> = new Set(["(idle)", "(program)"]);

const placeOf = ({ callFrame }: Profile["nodes"][number]): string => {
  const { functionName, url, lineNumber } = callFrame;
  if (url === "") return functionName;
  return `${functionName === "" ? "(anonymous)" : functionName} ${url.split("/").at(-1) ?? ""}:${lineNumber + 1}`;
};

const addTimes = ({ nodes, samples, timeDeltas }: Profile, times: Map<string, number>): void => {
  const places = new Map(nodes.map((node) => [node.id, placeOf(node)]));
  samples.forEach((id, index) => {
    const place = places.get(id) ?? "(unknown)";
    if (idlePlaces.has(place)) return;
    times.set(place, (times.get(place) ?? 0) + (timeDeltas[index] ?? 0));
  });
};

/**
 * Finds the functions with the most self time.
 *
 * @param directory - Contains the profiles and nothing else.
 * @param count - Maximum number of functions returned.
 * @returns The functions in descending order of self time.
 * @throws If a profile cannot be read or parsed.
 */
export const largestFunctions = async (
  directory: string,
  count: number,
): Promise<readonly FunctionShare[]> => {
  const times = new Map<string, number>();
  for (const file of await readdir(directory)) {
    const text = await readFile(join(directory, file), "utf8");
    addTimes(profileSchema.parse(JSON.parse(text)), times);
  }
  const total = [...times.values()].reduce((sum, time) => sum + time, 0);
  return [...times]
    .sort(([, left], [, right]) => right - left)
    .slice(0, count)
    .map(([place, time]) => ({ place, share: time / total }));
};
