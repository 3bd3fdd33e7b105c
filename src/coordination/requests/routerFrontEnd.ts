/** What a router offers to callers and operators, put together from its parts. */
import { createHash, timingSafeEqual } from "node:crypto";
import type { OrganisationConfiguration } from "../../protocol/configuration/schema.ts";
import { checkBodyFields } from "../../protocol/bodyFields.ts";
import { parseCompletionRequest } from "../../protocol/completionRequest.ts";
import { headers } from "../../protocol/constants.ts";
import { RequestError } from "../../protocol/errors.ts";
import { FrontEnd } from "../../protocol/FrontEnd.ts";
import type {
  CallerHeaders,
  CallerServiceAnswer,
  CallerServiceCall,
  CompletionAnswer,
  OperatorView,
} from "../../protocol/FrontEnd.ts";
import type { ResumeTokens } from "../../protocol/resumeToken.ts";
import type { CompletionRequest } from "../../protocol/types.ts";
import { metricNames } from "../../state/constants.ts";
import type { Metrics } from "../../state/Metrics.ts";
import type { Clock } from "../clock.ts";
import type { ConfigurationIndex } from "../configurationIndex.ts";
import { authenticate, bearerKey } from "./authenticate.ts";
import type { CompletionRunner } from "./completionRunner.ts";
import { createEventIds } from "./eventIds.ts";
import { readResumeJob } from "./resumption.ts";
import { refusals } from "./refusals.ts";
import { createRequestContext } from "./requestContext.ts";
import type { ServiceRunner } from "./serviceRunner.ts";

/** What the front end works with. */
export interface RouterFrontEndDependencies {
  readonly configuration: () => ConfigurationIndex | undefined;
  readonly completions: CompletionRunner;
  readonly services: ServiceRunner;
  readonly resumeTokens: ResumeTokens;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** SHA-256 of the operators' key, hex. */
  readonly operatorKeyHash: string;
  readonly views: Readonly<Record<OperatorView, () => unknown>>;
}

/** The front end, with what the daemon needs for an orderly end. */
export interface RouterFrontEnd extends FrontEnd {
  /** Refuses new work from now on; resolves when all work under way has ended. */
  readonly drain: () => Promise<void>;
  readonly openRequests: () => number;
}

const readOffsets = (header: string | undefined): readonly number[] => {
  if (header === undefined) return [];
  const offsets = header.split(",").map((item) => Number(item.trim()));
  if (offsets.every((offset) => Number.isInteger(offset) && offset > 0)) return offsets;
  throw refusals.invalidHeader(headers.prefixLevels, "positive character offsets, separated by commas");
};

const isOperator = (keyHash: string, authorization: string | undefined): boolean => {
  const key = bearerKey(authorization) ?? "";
  const digest = createHash("sha256").update(key).digest();
  return timingSafeEqual(digest, Buffer.from(keyHash, "hex"));
};

const isNonIdempotentRoute = (
  routes: readonly { readonly method: string; readonly path: string }[],
  call: CallerServiceCall,
): boolean => routes.some((route) => route.method === call.method && call.path.startsWith(route.path));

/** Makes the front end of one router. */
export const createRouterFrontEnd = (parts: RouterFrontEndDependencies): RouterFrontEnd => {
  const { metrics, clock } = parts;
  let open = 0;
  let draining = false;
  let drained: (() => void) | undefined;

  const end = (): void => {
    open -= 1;
    if (open === 0) drained?.();
  };

  const begin = (): ConfigurationIndex => {
    if (draining) throw refusals.shuttingDown();
    const index = parts.configuration();
    if (index === undefined) throw refusals.noConfiguration();
    return index;
  };

  const countRefusal = (error: unknown): void => {
    if (error instanceof RequestError) metrics.count(metricNames.refusals, 1, { code: error.failure.code });
  };

  /** Runs one piece of work, which counts as open until its promise settles. */
  const tracked = async <T>(work: () => Promise<T>): Promise<T> => {
    open += 1;
    try {
      return await work();
    } catch (error) {
      countRefusal(error);
      throw error;
    } finally {
      end();
    }
  };

  /** Keeps a request open until its last piece has been read or given up. */
  const trackedBatches = async function* <T>(batches: AsyncIterable<T>): AsyncGenerator<T, void, void> {
    try {
      yield* batches;
    } finally {
      end();
    }
  };

  const findModel = (index: ConfigurationIndex, organisation: OrganisationConfiguration, name: string) => {
    const model = index.models.get(name);
    if (model === undefined || !organisation.models.includes(name)) throw refusals.unknownModel(name);
    return model;
  };

  class Implementation extends FrontEnd implements RouterFrontEnd {
    override complete(
      kind: CompletionRequest["kind"],
      callerHeaders: CallerHeaders,
      body: string,
      signal: AbortSignal,
    ): Promise<CompletionAnswer> {
      return tracked(async () => {
        const arrivedAt = clock.monotonic();
        const index = begin();
        const organisation = authenticate(index, callerHeaders.authorization);
        const request = parseCompletionRequest(kind, body, readOffsets(callerHeaders.prefixLevels));
        const model = findModel(index, organisation, request.model);
        if (request.adapter !== undefined && !model.adapters.some(({ name }) => name === request.adapter)) {
          throw refusals.unknownModel(`${request.model}:${request.adapter}`);
        }
        checkBodyFields(request.body, model.bodyFields);
        const defaults = { className: model.defaultClass, idempotent: true };
        const context = createRequestContext(index, organisation, callerHeaders, defaults, arrivedAt);
        const job = { context, request, index };
        const { lastEventId = "" } = callerHeaders;
        const resumed =
          lastEventId === "" ? undefined : readResumeJob(parts.resumeTokens, clock, job, lastEventId);
        const running =
          resumed === undefined
            ? await parts.completions.run(job, signal)
            : await parts.completions.resume(resumed, signal);
        open += 1;
        return {
          requestId: (resumed ?? job).context.requestId,
          request,
          configurationVersion: index.version,
          upstream: running.upstream,
          batches: trackedBatches(running.batches),
          eventId: createEventIds(parts.resumeTokens, clock, resumed ?? job),
        };
      });
    }

    override callService(
      call: CallerServiceCall,
      callerHeaders: CallerHeaders,
      signal: AbortSignal,
    ): Promise<CallerServiceAnswer> {
      return tracked(async () => {
        const arrivedAt = clock.monotonic();
        const index = begin();
        const organisation = authenticate(index, callerHeaders.authorization);
        const service = index.services.get(call.service);
        if (service === undefined || !organisation.services.includes(call.service)) {
          throw refusals.unknownService(call.service);
        }
        const idempotent = !isNonIdempotentRoute(service.nonIdempotentRoutes, call);
        const defaults = { className: service.class, idempotent };
        const context = createRequestContext(index, organisation, callerHeaders, defaults, arrivedAt);
        const result = await parts.services.run({ ...call, context, service }, signal);
        return { requestId: context.requestId, configurationVersion: index.version, ...result };
      });
    }

    override listModels(callerHeaders: CallerHeaders): readonly string[] {
      const index = begin();
      const { models } = authenticate(index, callerHeaders.authorization);
      return models.flatMap((name) => {
        const adapters = index.models.get(name)?.adapters ?? [];
        return [name, ...adapters.map((adapter) => `${name}:${adapter.name}`)];
      });
    }

    override isReady(): boolean {
      return !draining && parts.configuration() !== undefined;
    }

    override readOperatorView(view: OperatorView, authorization: string | undefined): unknown {
      if (!isOperator(parts.operatorKeyHash, authorization)) throw refusals.invalidKey();
      return parts.views[view]();
    }

    readonly openRequests = (): number => open;

    readonly drain = (): Promise<void> => {
      draining = true;
      if (open === 0) return Promise.resolve();
      return new Promise((resolve) => (drained = resolve));
    };
  }

  return new Implementation();
};
