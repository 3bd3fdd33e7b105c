/** Steps of a plan by what they affect. */

/** Steps that can keep a router from receiving or applying updates. */
export const updateBlockingSteps: ReadonlySet<string> = new Set([
  "freezeRouter",
  "storeBusy",
  "storeSilent",
  "storeCut",
  "storeDelayed",
  "storeMuted",
  "storeLosesAnswers",
  "storeReturns",
  "killRouter",
  "killAllRouters",
  "endRouter",
  "endRoutersInTurn",
]);
