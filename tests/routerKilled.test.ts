/** A router process is killed while it relays a stream, and the caller resumes the stream at another router. */
import { describe, it } from "node:test";
import { expect } from "earl";
import { demoKey, startSystem } from "../demo/processes.ts";
import type { System } from "../demo/processes.ts";
import { headers } from "../src/protocol/constants.ts";
import { isComplete, lastEventIdOf, readStream, textOf } from "./support/eventStream.ts";

const question = {
  model: "records-assistant",
  max_tokens: 300,
  stream: true,
  ignore_eos: true,
  messages: [{ role: "user", content: "Summarise the course history of attendant 17." }],
};

const ask = (router: string, id = ""): Promise<Response> =>
  fetch(`${router}/v1/chat/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${demoKey("petra-wings")}`,
      "content-type": "application/json",
      ...(id === "" ? {} : { [headers.lastEventId]: id }),
    },
    body: JSON.stringify(question),
  });

const countExecutions = async (system: System): Promise<number> => {
  const engines = system.processes().filter(({ kind }) => kind === "engine");
  const counts = engines.map(async ({ process }) => {
    const answer = await fetch(`${process.url}/stand-in/state`);
    return ((await answer.json()) as { readonly executions: number }).executions;
  });
  return (await Promise.all(counts)).reduce((sum, count) => sum + count, 0);
};

describe("a router killed while it relays a stream", () => {
  it("loses nothing for its caller: another router relays the rest from the same engine", async () => {
    await using system = await startSystem({
      configurationFile: "examples/demo.json",
      routers: ["amman-north", "amman-south"],
    });
    const [first, second] = system.routers();
    if (first === undefined || second === undefined) return;
    const undisturbed = textOf(await readStream(await ask(second.process.url)));
    const before = await countExecutions(system);

    const lost = await readStream(await ask(first.process.url), Infinity, (count) => {
      if (count === 20) first.process.kill("SIGKILL");
    });
    expect(isComplete(lost)).toEqual(false);
    const rest = await readStream(await ask(second.process.url, lastEventIdOf(lost)));
    expect(isComplete(rest)).toEqual(true);
    expect(textOf(lost, rest)).toEqual(undisturbed);
    expect(await countExecutions(system)).toEqual(before + 1);
  });
});
