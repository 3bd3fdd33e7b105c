/** Opens the next attempt of a request, and a hedge (a second, competing attempt) if the request's class has hedging. */
import { RequestError } from "../../protocol/errors.ts";
import { digestRequest } from "../../protocol/serializedBody.ts";
import { metricNames } from "../../state/constants.ts";
import type { Work } from "../scheduling/Scheduler.ts";
import { hasBegun } from "./deliveredAnswer.ts";
import { maxWeightBindings } from "./constants.ts";
import { openAttempt } from "./attempt.ts";
import type { OpenAttempt } from "./attempt.ts";
import { raceAttempts } from "./hedge.ts";
import { refusalCodes } from "./refusals.ts";
import type { RunScope } from "./runScope.ts";
import { untilStopped } from "./stopper.ts";
import type { Stopper } from "./stopper.ts";
import { createWork } from "./work.ts";

/** @returns A function that opens the next attempt of the request each time it is called. */
export const createAttemptOpener = ({ dependencies, job, state, stopper, retries }: RunScope) => {
  const { clock, metrics, claims, retryBudget } = dependencies;
  const { context, request } = job;
  const { requestClass } = context;
  let work = createWork(job, dependencies.bindWeights);
  let bindingCount = 1;

  const ensureClaimed = async (attemptStopper: Stopper): Promise<void> => {
    if (context.idempotent || state.claim !== undefined) return;
    const pendingClaim = claims.claim(context, digestRequest(request));
    state.claim = await untilStopped(pendingClaim, attemptStopper, (lateClaim) => {
      lateClaim.release().catch(() => undefined);
    });
  };

  const currentWork = (tried: ReadonlySet<string>): Work => ({
    ...work,
    context: { ...context, firstTokenDeadline: retries.firstTokenDeadline() },
    promptTokens: work.promptTokens + state.answer.tokens,
    maximumTokens: Math.max(1, request.maximumTokens - state.answer.tokens),
    excluded: new Set([...state.excluded, ...tried]),
    alreadyAdmitted: state.wasAdmitted,
  });

  /**
   * A non-idempotent request waits until its completion deadline: it may not be sent to another engine, so giving up
   * earlier gains nothing.
   */
  const firstPieceTimeout = (): number => {
    const now = clock.monotonic();
    const latest = context.completionDeadline - now;
    if (!context.idempotent) return latest;
    return Math.min(latest, Math.max(requestClass.stallTimeout, retries.firstTokenDeadline() - now));
  };

  /** @param tried - Engines that the same hedged race has used; the chosen one is added. */
  const openOne = async (attemptStopper: Stopper, tried: Set<string>): Promise<OpenAttempt> => {
    let engineId: string | undefined;
    const plan = {
      traits: () => dependencies.traitsOf(job),
      context,
      request,
      work: currentWork(tried),
      delivered: { text: state.answer.text, tokens: state.answer.tokens },
      firstPieceTimeout: firstPieceTimeout(),
      beforeDispatch: ensureClaimed,
      onMayHaveRun: () => {
        state.mayHaveRun = true;
        state.hasContinuedQuarantined ||= dependencies.quarantine.isQuarantined(job);
      },
    };
    try {
      return await openAttempt(dependencies, plan, attemptStopper, (id) => {
        engineId = id;
        tried.add(id);
        state.wasAdmitted = true;
      });
    } catch (error) {
      if (engineId !== undefined) state.excluded.add(engineId);
      throw error;
    }
  };

  /**
   * Binds the request to weights again, since no engine runs those that it is bound to.
   *
   * @returns Whether it is bound to different weights now.
   */
  const rebind = (): boolean => {
    if (state.mayHaveRun || hasBegun(state.answer) || bindingCount >= maxWeightBindings) return false;
    bindingCount += 1;
    const reboundWork = createWork(job, dependencies.bindWeights);
    const hasChanged = reboundWork.weightsVersions.join() !== work.weightsVersions.join();
    work = reboundWork;
    return hasChanged;
  };

  /** Rebinds a waiting request when the last engine with its weights is removed, rather than refusing it. */
  const openWithRebinding = async (attemptStopper: Stopper, tried: Set<string>): Promise<OpenAttempt> => {
    for (;;) {
      try {
        return await openOne(attemptStopper, tried);
      } catch (error) {
        if (!(error instanceof RequestError) || error.failure.code !== refusalCodes.noEngine) throw error;
        if (!rebind()) throw error;
      }
    }
  };

  const mayHedge = (): boolean => {
    const isAllowed = retryBudget.tryTake(requestClass, "hedge");
    if (isAllowed) metrics.count(metricNames.hedges);
    return isAllowed;
  };

  return (): Promise<OpenAttempt> => {
    const tried = new Set<string>();
    const open = (attemptStopper: Stopper): Promise<OpenAttempt> => openWithRebinding(attemptStopper, tried);
    const { hedgeAfter } = requestClass;
    if (hedgeAfter === undefined || !context.idempotent || hasBegun(state.answer)) return open(stopper);
    return raceAttempts({ clock, first: open, second: open, hedgeAfter, mayHedge, parent: stopper });
  };
};
