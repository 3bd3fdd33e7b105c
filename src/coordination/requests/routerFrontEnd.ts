/** The router's front end: authenticates, validates and runs the requests of callers and operators. */
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

export interface RouterFrontEndDependencies {
  /** @returns The current configuration; `undefined` until the first one has arrived. */
  readonly configuration: () => ConfigurationIndex | undefined;
  readonly completions: CompletionRunner;
  readonly services: ServiceRunner;
  readonly resumeTokens: ResumeTokens;
  readonly metrics: Metrics;
  readonly clock: Clock;
  /** SHA-256 digest of the operator key, hexadecimal. */
  readonly operatorKeyHash: string;
  /** Functions that compute what operators can read. */
  readonly views: Readonly<Record<OperatorView, () => unknown>>;
}

/** A front end that can be drained, for graceful shutdown. */
export interface RouterFrontEnd extends FrontEnd {
  /** Refuses new requests from now on; resolves once all open requests have ended. */
  readonly drain: () => Promise<void>;
  /** @returns The number of requests in progress. */
  readonly openRequests: () => number;
}

const parsePrefixOffsets = (header: string | undefined): readonly number[] => {
  if (header === undefined) return [];
  const offsets = header.split(",").map((item) => Number(item.trim()));
  if (offsets.every((offset) => Number.isInteger(offset) && offset > 0)) return offsets;
  throw refusals.invalidHeader(headers.prefixLevels, "a comma-separated list of positive character offsets");
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

const checkHead = (
  { authorization }: CallerHeaders,
  countRefusal: (error: unknown) => void,
  configuration: () => ConfigurationIndex,
): string => {
  try {
    return authenticate(configuration(), authorization).name;
  } catch (error) {
    countRefusal(error);
    throw error;
  }
};

export const createRouterFrontEnd = (dependencies: RouterFrontEndDependencies): RouterFrontEnd => {
  const { metrics, clock } = dependencies;
  let openCount = 0;
  let draining = false;
  let resolveDrained: (() => void) | undefined;

  const endRequest = (): void => {
    openCount -= 1;
    if (openCount === 0) resolveDrained?.();
  };

  const currentConfiguration = (): ConfigurationIndex => {
    if (draining) throw refusals.shuttingDown();
    const index = dependencies.configuration();
    if (index === undefined) throw refusals.noConfiguration();
    return index;
  };

  const countRefusal = (error: unknown): void => {
    if (error instanceof RequestError) metrics.count(metricNames.refusals, 1, { code: error.failure.code });
  };

  /** Runs a function, counts it as an open request until its promise settles, and counts its refusal. */
  const trackWork = async <T>(work: () => Promise<T>): Promise<T> => {
    openCount += 1;
    try {
      return await work();
    } catch (error) {
      countRefusal(error);
      throw error;
    } finally {
      endRequest();
    }
  };

  /** Keeps a request open until its last batch has been read or its reader stops. */
  const trackBatches = async function* <T>(batches: AsyncIterable<T>): AsyncGenerator<T, void, void> {
    try {
      yield* batches;
    } finally {
      endRequest();
    }
  };

  const findModel = (index: ConfigurationIndex, organisation: OrganisationConfiguration, name: string) => {
    const model = index.models.get(name);
    if (model === undefined || !organisation.models.includes(name)) throw refusals.unknownModel(name);
    return model;
  };

  class Implementation extends FrontEnd implements RouterFrontEnd {
    override admitHead(callerHeaders: CallerHeaders): string {
      return checkHead(callerHeaders, countRefusal, currentConfiguration);
    }

    override complete(
      kind: CompletionRequest["kind"],
      callerHeaders: CallerHeaders,
      body: string,
      signal: AbortSignal,
    ): Promise<CompletionAnswer> {
      return trackWork(async () => {
        const arrivedAt = clock.monotonic();
        const index = currentConfiguration();
        const organisation = authenticate(index, callerHeaders.authorization);
        const request = parseCompletionRequest(kind, body, parsePrefixOffsets(callerHeaders.prefixLevels));
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
          lastEventId === "" ? undefined : readResumeJob(dependencies.resumeTokens, clock, job, lastEventId);
        const running =
          resumed === undefined
            ? await dependencies.completions.run(job, signal)
            : await dependencies.completions.resume(resumed, signal);
        openCount += 1;
        return {
          requestId: (resumed ?? job).context.requestId,
          request,
          configurationVersion: index.version,
          upstream: running.upstream,
          batches: trackBatches(running.batches),
          eventId: createEventIds(dependencies.resumeTokens, clock, resumed ?? job),
        };
      });
    }

    override callService(
      call: CallerServiceCall,
      callerHeaders: CallerHeaders,
      signal: AbortSignal,
    ): Promise<CallerServiceAnswer> {
      return trackWork(async () => {
        const arrivedAt = clock.monotonic();
        const index = currentConfiguration();
        const organisation = authenticate(index, callerHeaders.authorization);
        const service = index.services.get(call.service);
        if (service === undefined || !organisation.services.includes(call.service)) {
          throw refusals.unknownService(call.service);
        }
        const idempotent = !isNonIdempotentRoute(service.nonIdempotentRoutes, call);
        const defaults = { className: service.class, idempotent };
        const context = createRequestContext(index, organisation, callerHeaders, defaults, arrivedAt);
        const result = await dependencies.services.run({ ...call, context, service }, signal);
        return { requestId: context.requestId, configurationVersion: index.version, ...result };
      });
    }

    override listModels(callerHeaders: CallerHeaders): readonly string[] {
      const index = currentConfiguration();
      const { models } = authenticate(index, callerHeaders.authorization);
      return models.flatMap((name) => {
        const adapters = index.models.get(name)?.adapters ?? [];
        return [name, ...adapters.map((adapter) => `${name}:${adapter.name}`)];
      });
    }

    override isReady(): boolean {
      return !draining && dependencies.configuration() !== undefined;
    }

    override readOperatorView(view: OperatorView, authorization: string | undefined): unknown {
      if (!isOperator(dependencies.operatorKeyHash, authorization)) throw refusals.invalidKey();
      return dependencies.views[view]();
    }

    readonly openRequests = (): number => openCount;

    readonly drain = (): Promise<void> => {
      draining = true;
      if (openCount === 0) return Promise.resolve();
      return new Promise((resolve) => (resolveDrained = resolve));
    };
  }

  return new Implementation();
};
