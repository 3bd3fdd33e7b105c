/** An explicit-state model checker: visits every reachable state of a model. */

/** A state machine to check; its states are plain data. */
export interface Model<State> {
  readonly initial: State;
  /** @returns The successors of a state, each with the name of the step that leads to it. */
  readonly steps: (state: State) => readonly (readonly [string, State])[];
  /** @returns The invariant that a state violates; `undefined` for a valid state. */
  readonly violation: (state: State) => string | undefined;
  /** @returns The same key for states with equivalent behaviour. Default: the state as JSON. */
  readonly key?: (state: State) => string;
}

/** The result of an exploration. */
export interface ExplorationResult {
  readonly states: number;
  /** The steps that lead to the first violation, then the violation; `undefined` if there is none. */
  readonly counterexample: readonly string[] | undefined;
}

interface Visit<State> {
  readonly state: State;
  readonly step: string;
  readonly before: Visit<State> | undefined;
}

const pathTo = <State>(visit: Visit<State>): readonly string[] =>
  visit.before === undefined ? [] : [...pathTo(visit.before), visit.step];

/** Explores a model breadth first, so that the counterexample is a shortest one. */
export const explore = <State>(model: Model<State>): ExplorationResult => {
  const { initial, steps, violation, key: keyOf = JSON.stringify } = model;
  const seen = new Set([keyOf(initial)]);
  let frontier: Visit<State>[] = [{ state: initial, step: "", before: undefined }];
  while (frontier.length > 0) {
    const next: Visit<State>[] = [];
    for (const visit of frontier) {
      const problem = violation(visit.state);
      if (problem !== undefined) return { states: seen.size, counterexample: [...pathTo(visit), problem] };
      for (const [step, state] of steps(visit.state)) {
        const key = keyOf(state);
        if (seen.has(key)) continue;
        seen.add(key);
        next.push({ state, step, before: visit });
      }
    }
    frontier = next;
  }
  return { states: seen.size, counterexample: undefined };
};
