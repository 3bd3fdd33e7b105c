import { Command, Option } from "clipanion";
import { OperatorCommand } from "../OperatorCommand.ts";
import type { CommandResult } from "../OperatorCommand.ts";
import { readLogs } from "../readLogs.ts";
import type { RequestStory, StoryStep } from "../requestTimeline.ts";
import { tellStory } from "../requestTimeline.ts";

const writeStep = ({ at, router, text }: StoryStep): string => `  ${at} ${router}: ${text}\n`;

const writeStory = ({ request, steps, around, cause }: RequestStory): string =>
  [
    `request ${request}\n`,
    ...steps.map(writeStep),
    ...(around.length === 0 ? [] : ["around it\n", ...around.map(writeStep)]),
    `most likely: ${cause}\n`,
  ].join("");

/** `pomelocleat explain REQUEST-ID [FILE...]`. */
export class ExplainCommand extends OperatorCommand {
  static override paths = [["explain"]];

  static override usage = Command.Usage({
    category: "Failures",
    description: "Tell what became of a request, from the logs of the routers",
    details:
      "Reads the log lines of any number of routers, from files or from standard input, and puts in order what was decided about one request, what was believed then, and how old that was.",
    examples: [["From files", "$0 explain 9c41d07be2a35f68 router-1.log router-2.log"]],
  });

  request = Option.String({ name: "REQUEST-ID" });

  files = Option.Rest({ name: "FILE" });

  protected async run(): Promise<CommandResult> {
    const { lines, unreadable } = await readLogs(this.files, this.context.stdin);
    const story = tellStory(this.request, lines);
    const note = unreadable === 0 ? "" : `${unreadable} lines were not a router's\n`;
    return {
      exit: story.steps.length === 0 ? "notFound" : "success",
      text: writeStory(story) + note,
      value: { ...story, unreadable },
    };
  }
}
