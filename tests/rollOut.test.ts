/** A roll-out of new weights while requests are served, over real sockets. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { createPublication, encodeConfigurationRecord } from "../src/protocol/configuration/record.ts";
import { splitConfiguration } from "../src/protocol/configuration/sections.ts";
import { logStreams } from "../src/protocol/constants.ts";
import { startLocalSystem } from "./support/localSystem.ts";
import type { LocalSystem } from "./support/localSystem.ts";

const newWeights = "2026-06";

const publishWeights = async (system: LocalSystem): Promise<void> => {
  const { configuration, logService } = system;
  const models = configuration.models.map((model) => ({ ...model, weightsVersion: newWeights }));
  const base = { version: 0, sections: splitConfiguration(configuration) };
  const publisher = { publishedBy: "test", publishedAt: 0 };
  const record = createPublication({ ...configuration, models }, base, publisher);
  await fetch(`${logService.url}/streams/${logStreams.configuration}/records`, {
    method: "POST",
    body: JSON.stringify({ records: [encodeConfigurationRecord(record)] }),
  });
};

const question = (attendant: number) => ({
  model: "records-assistant",
  max_tokens: 12,
  messages: [
    { role: "system", content: "Rule 1: a record is valid for twelve months." },
    { role: "system", content: `Course ${attendant % 7}` },
    { role: "user", content: "Is the attendant current?" },
  ],
});

const ask = async (system: LocalSystem, attendant: number) => {
  const body = question(attendant);
  const answer = await system.call("/v1/chat/completions", { body, router: attendant % 2 });
  return { status: answer.status, text: await answer.text() };
};

const contentOf = (text: string): string => {
  const { choices } = JSON.parse(text) as {
    readonly choices: readonly { readonly message: { readonly content: string } }[];
  };
  return choices[0]?.message.content ?? "";
};

describe("a roll-out of weights under load", () => {
  it("fails no request, never mixes versions in one answer, and ends with the new version", async () => {
    await using system = await startLocalSystem({
      routers: 2,
      engines: 4,
      engineSettings: { tokenMilliseconds: 2, loadMilliseconds: 30, averageTokens: 0 },
    });
    const askAll = (attendants: readonly number[]) =>
      Promise.all(attendants.map((attendant) => ask(system, attendant)));
    const courses = [0, 1, 2, 3, 4, 5, 6];
    const oldContents = (await askAll(courses)).map(({ text }) => contentOf(text));
    await publishWeights(system);
    const during: { readonly course: number; readonly status: number; readonly text: string }[] = [];
    const isDone = (): boolean =>
      system.engines.every(({ load }) => load().weightsVersion === newWeights && !load().leaving);
    const end = performance.now() + 30_000;
    while (!isDone() && performance.now() < end) {
      const answers = await askAll(courses);
      during.push(...answers.map((answer, course) => ({ course, ...answer })));
    }
    expect(isDone()).toEqual(true);
    const newContents = (await askAll(courses)).map(({ text }) => contentOf(text));
    expect(during.filter(({ status }) => status !== 200)).toEqual([]);
    const isFromOneVersion = ({ course, text }: (typeof during)[number]): boolean =>
      [oldContents[course], newContents[course]].includes(contentOf(text));
    expect(during.filter((answer) => !isFromOneVersion(answer))).toEqual([]);
    expect(newContents.every((text, course) => text !== oldContents[course])).toEqual(true);
  });
});
