/**
 * A model of two routers that read an operator's log while the store is restored from copies. Answers may be late, lost
 * or out of order. A router proves its version by a read that reaches the end of the log.
 */
import type { Model } from "./explore.ts";

/** Whether a read position consists of epoch and offset (`epochs`), or of the offset alone (`offsets`). */
export type PositionRule = "epochs" | "offsets";

interface Read {
  /** The router's position when it sent the read; the epoch is 0 before the first read. */
  readonly epoch: number;
  readonly from: number;
  /** The newest version that the store had acknowledged in its epoch when the read was sent. */
  readonly acknowledged: number;
  readonly answer: { readonly epoch: number; readonly end: number; readonly newest: number } | undefined;
}

interface Router {
  readonly epoch: number;
  /** `undefined` while the router has to read the whole log again. */
  readonly offset: number | undefined;
  readonly version: number;
  readonly read: Read | undefined;
}

interface State {
  readonly epoch: number;
  /** The version at each offset. */
  readonly log: readonly number[];
  readonly copies: readonly (readonly number[])[];
  readonly published: number;
  /** The newest version that the store has acknowledged in this epoch. */
  readonly acknowledged: number;
  readonly routers: readonly Router[];
  readonly problem: string | undefined;
}

const maxVersions = 2;
const maxEpochs = 3;

const newestOf = (log: readonly number[]): number => Math.max(0, ...log);

const replaceAt = <T>(items: readonly T[], index: number, item: T): readonly T[] =>
  items.map((each, at) => (at === index ? item : each));

/** @returns The router after it has processed the answer of a read, with the violation if it proves an old version. */
const applyAnswer = (
  state: State,
  router: Router,
  { acknowledged, ...read }: Read,
  rule: PositionRule,
): Router & { readonly problem?: string } => {
  const { answer } = read;
  if (answer === undefined) return router;
  const known = { ...router, read: undefined };
  if (rule === "epochs" && answer.epoch < router.epoch) return known;
  const isNewEpoch = rule === "epochs" && answer.epoch > router.epoch;
  if (isNewEpoch && read.epoch !== answer.epoch && read.from > 0)
    return { ...known, epoch: answer.epoch, offset: undefined };
  const isWhole = read.from === 0;
  const hasEnded = !isWhole && rule === "epochs" && read.epoch !== answer.epoch;
  if (hasEnded) return { ...known, offset: undefined };
  const version =
    answer.end > read.from || isWhole ? Math.max(router.version, answer.newest) : router.version;
  const offset = Math.max(rule === "offsets" ? (router.offset ?? 0) : 0, answer.end);
  const provesCurrentEpoch = answer.epoch === state.epoch;
  const problem =
    provesCurrentEpoch && version < acknowledged
      ? `proves ${version}, although ${acknowledged} was acknowledged in epoch ${state.epoch}`
      : undefined;
  return { ...known, epoch: answer.epoch, offset, version, ...(problem === undefined ? {} : { problem }) };
};

const storeSteps = (state: State): (readonly [string, State])[] => {
  const steps: (readonly [string, State])[] = [];
  const { epoch, log, copies, published } = state;
  if (published < maxVersions) {
    const version = published + 1;
    steps.push([
      `publish ${version}`,
      { ...state, log: [...log, version], published: version, acknowledged: version },
    ]);
  }
  if (published > newestOf(log)) {
    steps.push([
      `publish ${published} again`,
      { ...state, log: [...log, published], acknowledged: published },
    ]);
  }
  if (copies.length < 1) steps.push(["copy", { ...state, copies: [...copies, log] }]);
  if (epoch < maxEpochs) {
    copies.forEach((copy, index) => {
      steps.push([
        `return from copy ${index}`,
        { ...state, epoch: epoch + 1, log: copy, acknowledged: newestOf(copy) },
      ]);
    });
  }
  return steps;
};

const routerSteps = (state: State, index: number, rule: PositionRule): (readonly [string, State])[] => {
  const router = state.routers[index];
  if (router === undefined) return [];
  const withRouter = (changed: Router, problem?: string): State => ({
    ...state,
    routers: replaceAt(state.routers, index, changed),
    problem,
  });
  const { read } = router;
  if (read === undefined) {
    const from = router.offset ?? 0;
    const sent: Read = { epoch: router.epoch, from, acknowledged: state.acknowledged, answer: undefined };
    return [[`router ${index} reads from ${from}`, withRouter({ ...router, read: sent })]];
  }
  const lost: readonly [string, State] = [
    `router ${index} gets no answer`,
    withRouter({ ...router, read: undefined }),
  ];
  if (read.answer === undefined) {
    const newest = newestOf(state.log.slice(read.from));
    const answer = { epoch: state.epoch, end: state.log.length, newest };
    // Versions acknowledged in an earlier epoch may be lost: the proof covers only the epoch of the answer.
    const acknowledged = read.epoch === state.epoch ? read.acknowledged : 0;
    return [
      lost,
      [
        `the store answers router ${index}`,
        withRouter({ ...router, read: { ...read, acknowledged, answer } }),
      ],
    ];
  }
  const { problem, ...updated } = applyAnswer(state, router, read, rule);
  return [lost, [`router ${index} takes the answer`, withRouter(updated, problem)]];
};

/** Creates the model of the readers. */
export const createReaderModel = (rule: PositionRule): Model<State> => ({
  initial: {
    epoch: 1,
    log: [],
    copies: [],
    published: 0,
    acknowledged: 0,
    routers: Array.from({ length: 2 }, () => ({ epoch: 1, offset: undefined, version: 0, read: undefined })),
    problem: undefined,
  },
  steps: (state) => [
    ...storeSteps(state),
    ...state.routers.flatMap((_, index) => routerSteps(state, index, rule)),
  ],
  violation: ({ problem }) => problem,
});
