/** Opens the next attempt of a request, with a second one beside it where the class hedges. */
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

/** Makes the function that opens one attempt after another. */
export const createAttemptOpener = ({ dependencies: parts, job, state, stopper, retries }: RunScope) => {
  const { clock, metrics, claims, retryBudget } = parts;
  const { context, request } = job;
  const { requestClass } = context;
  let work = createWork(job, parts.bindWeights);
  let bindings = 1;

  const claimOnce = async (attemptStopper: Stopper): Promise<void> => {
    if (context.idempotent || state.claim !== undefined) return;
    const claiming = claims.claim(context, digestRequest(request));
    state.claim = await untilStopped(claiming, attemptStopper, (late) => {
      late.release().catch(() => undefined);
    });
  };

  const workNow = (asked: ReadonlySet<string>): Work => ({
    ...work,
    context: { ...context, firstTokenDeadline: retries.firstTokenDeadline() },
    promptTokens: work.promptTokens + state.answer.tokens,
    maximumTokens: Math.max(1, request.maximumTokens - state.answer.tokens),
    excluded: new Set([...state.excluded, ...asked]),
    alreadyAdmitted: state.wasAdmitted,
  });

  /** Nothing is gained by leaving an engine early where no other one may be asked. */
  const firstPieceTimeout = (): number => {
    const now = clock.monotonic();
    const latest = context.completionDeadline - now;
    if (!context.idempotent) return latest;
    return Math.min(latest, Math.max(requestClass.stallTimeout, retries.firstTokenDeadline() - now));
  };

  /** @param asked - Engines that the same race has asked; the chosen one is added. */
  const openOne = async (attemptStopper: Stopper, asked: Set<string>): Promise<OpenAttempt> => {
    let engineId: string | undefined;
    const plan = {
      fingerprint: parts.fingerprintOf(job),
      context,
      request,
      work: workNow(asked),
      delivered: { text: state.answer.text, tokens: state.answer.tokens },
      firstPieceTimeout: firstPieceTimeout(),
      beforeDispatch: claimOnce,
      onMayHaveRun: () => {
        state.mayHaveRun = true;
        state.hasContinuedQuarantined ||= parts.quarantine.isQuarantined(job);
      },
    };
    try {
      return await openAttempt(parts, plan, attemptStopper, (id) => {
        engineId = id;
        asked.add(id);
        state.wasAdmitted = true;
      });
    } catch (error) {
      if (engineId !== undefined) state.excluded.add(engineId);
      throw error;
    }
  };

  /**
   * Binds the request anew where it is bound to weights that nothing runs any more.
   *
   * @returns Whether it is bound to other weights now.
   */
  const rebind = (): boolean => {
    if (state.mayHaveRun || hasBegun(state.answer) || bindings >= maxWeightBindings) return false;
    bindings += 1;
    const again = createWork(job, parts.bindWeights);
    const isOther = again.weightsVersions.join() !== work.weightsVersions.join();
    work = again;
    return isOther;
  };

  /** The last engine with the weights of a waiting request may be taken out, which is no reason to refuse it. */
  const openBound = async (attemptStopper: Stopper, asked: Set<string>): Promise<OpenAttempt> => {
    for (;;) {
      try {
        return await openOne(attemptStopper, asked);
      } catch (error) {
        if (!(error instanceof RequestError) || error.failure.code !== refusalCodes.noEngine) throw error;
        if (!rebind()) throw error;
      }
    }
  };

  const mayHedge = (): boolean => {
    const allowed = retryBudget.tryTake(requestClass, "hedge");
    if (allowed) metrics.count(metricNames.hedges);
    return allowed;
  };

  return (): Promise<OpenAttempt> => {
    const asked = new Set<string>();
    const open = (attemptStopper: Stopper): Promise<OpenAttempt> => openBound(attemptStopper, asked);
    const { hedgeAfter } = requestClass;
    if (hedgeAfter === undefined || !context.idempotent || hasBegun(state.answer)) return open(stopper);
    return raceAttempts({ clock, first: open, second: open, hedgeAfter, mayHedge, parent: stopper });
  };
};
