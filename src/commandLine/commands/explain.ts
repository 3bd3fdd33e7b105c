import { Command, Option } from "clipanion";
import { OperatorCommand } from "../OperatorCommand.ts";
import type { CommandResult } from "../OperatorCommand.ts";
import { describeUnreadable, readLogs } from "../readLogs.ts";
import type { RequestTimeline, TimelineStep } from "../requestTimeline.ts";
import { buildTimeline } from "../requestTimeline.ts";

const formatStep = ({ at, router, text }: TimelineStep): string => `  ${at} ${router}: ${text}\n`;

const formatTimeline = ({ request, steps, around, cause }: RequestTimeline): string =>
  [
    `request ${request}\n`,
    ...steps.map(formatStep),
    ...(around.length === 0 ? [] : ["around it\n", ...around.map(formatStep)]),
    `most likely: ${cause}\n`,
  ].join("");

/** `pomelocleat explain REQUEST-ID [FILE...]`. */
export class ExplainCommand extends OperatorCommand {
  static override paths = [["explain"]];

  static override usage = Command.Usage({
    category: "Failures",
    description: "Reconstruct what happened to a request from the logs of the routers",
    details:
      "Reads the log lines of any number of routers, from files or from standard input, and puts in order what was decided about one request, what the router knew then, and how old that was.",
    examples: [["From files", "$0 explain 9c41d07be2a35f68 router-1.log router-2.log"]],
  });

  request = Option.String({ name: "REQUEST-ID" });

  files = Option.Rest({ name: "FILE" });

  protected async run(): Promise<CommandResult> {
    const { lines, unreadable } = await readLogs(this.files, this.context.stdin);
    const timeline = buildTimeline(this.request, lines);
    const note = describeUnreadable(unreadable);
    return {
      exit: timeline.steps.length === 0 ? "notFound" : "success",
      text: formatTimeline(timeline) + note,
      value: { ...timeline, unreadable },
    };
  }
}
