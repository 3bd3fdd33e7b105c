/** Sums up the processor profiles that routers wrote when they ended. */
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { z } from "zod";

/** What a function took by itself, callees left out. */
export interface FunctionShare {
  /** Name and place. */
  readonly place: string;
  /** Of the processor time of all profiles, 0 to 1. */
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

/** Time in which the process waited is none of its processor's. */
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
 * @param directory - Holds the profiles and nothing else.
 * @param count - How many functions are wanted.
 * @returns The functions that took most, the first one first; throws where a profile can't be read.
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
