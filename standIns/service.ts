/** A stand-in for one replica of a plain service, with deterministic answers; it records every execution. */
import { z } from "zod";
import { headers as headerNames } from "../src/protocol/constants.ts";
import { cutError, refusal } from "./errors.ts";
import { jsonAnswer, readHeader, startServer, type Answer, type Exchange } from "./httpServer.ts";
import { commonFaults, commonSettings, milliseconds, type StandIn } from "./types.ts";
import { pause } from "./waiting.ts";

const settingsSchema = z.strictObject({
  ...commonSettings,
  service: z.string().min(1).default("service"),
  /** `checked` refuses a request without the header that names its organisation. */
  identity: z.enum(["checked", "ignored"]).default("ignored"),
  /** True if a repeated idempotency key gets the first answer again without a second execution. */
  deduplicatesByKey: z.boolean().default(false),
  /** Duration of each request. */
  workMilliseconds: milliseconds.default(0),
});
export type ServiceStandInSettings = z.input<typeof settingsSchema>;

const nextAnswers = z.number().int().min(0).default(0);
const faultsSchema = z.strictObject({
  ...commonFaults,
  /** Every request is refused with `overloaded` and not executed; the answer declares this. */
  refuse: z.boolean().default(false),
  /** Every request is refused with `leaving` and not executed; the answer declares this. */
  leaving: z.boolean().default(false),
  /** The next N answers are not valid HTTP. */
  garbage: nextAnswers,
  /** The next N answers carry the id of another attempt. */
  crossAnswers: nextAnswers,
});
export type ServiceStandInFaults = z.output<typeof faultsSchema>;

/** One execution of a request. */
export interface ServiceExecution {
  readonly attempt: string;
  readonly idempotencyKey: string | undefined;
  readonly organisation: string | undefined;
  readonly method: string;
  readonly path: string;
}

/** A running stand-in of a plain service. */
export interface ServiceStandIn extends StandIn<ServiceStandInFaults> {
  readonly executions: () => readonly ServiceExecution[];
}

const countByKey = (executions: readonly ServiceExecution[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  for (const { idempotencyKey } of executions) {
    if (idempotencyKey !== undefined) counts[idempotencyKey] = (counts[idempotencyKey] ?? 0) + 1;
  }
  return counts;
};

/**
 * Starts a stand-in of a plain service's replica.
 *
 * @param input - Settings; those left out take their defaults.
 */
export const createServiceStandIn = async (input: ServiceStandInSettings = {}): Promise<ServiceStandIn> => {
  const settings = settingsSchema.parse(input);
  const executions: ServiceExecution[] = [];
  const answersByKey = new Map<string, unknown>();

  const checkAdmission = (organisation: string | undefined): void => {
    if (server.faults.leaving) throw refusal(503, "leaving", true);
    if (server.faults.refuse) throw refusal(503, "overloaded", true);
    if (settings.identity === "checked" && organisation === undefined) {
      throw refusal(401, "identity_required", true);
    }
  };

  const execute = (execution: ServiceExecution, body: Buffer): unknown => {
    const { idempotencyKey, organisation, method, path } = execution;
    const known = idempotencyKey === undefined ? undefined : answersByKey.get(idempotencyKey);
    if (settings.deduplicatesByKey && known !== undefined) return known;
    executions.push(execution);
    const { service, name } = settings;
    const answer = { service, replica: name, method, path, organisation, echo: body.toString("utf8") };
    if (idempotencyKey !== undefined) answersByKey.set(idempotencyKey, answer);
    return answer;
  };

  const call = async ({ request, response, method, target, body }: Exchange): Promise<Answer> => {
    const organisation = readHeader(request, headerNames.organisation);
    checkAdmission(organisation);
    const attempt = readHeader(request, headerNames.attempt) ?? "";
    const idempotencyKey = readHeader(request, headerNames.idempotencyKey);
    const answer = execute({ attempt, idempotencyKey, organisation, method, path: target }, body);
    await pause(settings.workMilliseconds, server.closed);
    if (server.faults.garbage > 0) {
      server.faults.garbage -= 1;
      response.socket?.end("no such thing as HTTP\r\n\r\n");
      throw cutError("The stand-in answers with garbage.");
    }
    const crossed = server.faults.crossAnswers > 0;
    if (crossed) server.faults.crossAnswers -= 1;
    return jsonAnswer(answer, 200, { [headerNames.attempt]: crossed ? `${attempt}-of-another` : attempt });
  };

  const state = (): Record<string, unknown> => ({ executions: executions.length });

  const server = await startServer({
    ...settings,
    faultsSchema,
    state,
    routes: [
      {
        method: "GET",
        path: "/stand-in/executions",
        handler: () => jsonAnswer({ executions, byKey: countByKey(executions) }),
      },
    ],
    fallback: call,
  });
  return { ...server, kind: "service", name: settings.name, state, executions: () => executions };
};
