/** Where the parts of a prompt are kept and expected, by the weights that replicas run. */
import type { CacheStore, Prompt } from "../../protocol/forwarding/types.ts";
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { Clock } from "../clock.ts";
import { isBackingOff } from "../replicaReports/backoff.ts";
import type { CacheHolders, HeldPrompt } from "./cacheHolders.ts";
import { reusableParts } from "./cacheHolders.ts";
import { rendezvousReplica } from "./rendezvousReplica.ts";

/** What views are made of. */
export interface PromptViewDependencies {
  readonly replicas: ReplicaTable;
  readonly clock: Clock;
  readonly holders: CacheHolders;
  /** @returns The store that a part belongs to, if there is one that answers. @param part - Its hash. */
  readonly findStore: (part: number) => CacheStore | undefined;
}

/** A prompt as the engines that run one version of the weights may keep it. */
export interface PromptView {
  readonly salt: string;
  readonly held: ReadonlyMap<string, HeldPrompt>;
  /** Hash of the deepest part that others may share. */
  readonly part: number;
  /** Those that run these weights. */
  readonly same: readonly ReplicaState[];
  /** The replica that all routers expect the part at. */
  readonly home: string | undefined;
  /** The most tokens that can be copied from anywhere. */
  readonly most: number;
  /** Tokens of all parts that other requests may have too. */
  readonly reusable: number;
}

interface HeldBy {
  readonly id: string;
  readonly held: HeldPrompt;
}

const mostHeld = (held: ReadonlyMap<string, HeldPrompt>): number => {
  let most = 0;
  for (const { readyTokens } of held.values()) most = Math.max(most, readyTokens);
  return most;
};

/** See {@link createPromptViews}. */
export interface PromptViews {
  /** @param sameWeights - The replicas that run one version of the weights, whatever else they do. */
  readonly viewPrompt: (prompt: Prompt, salt: string, sameWeights: readonly ReplicaState[]) => PromptView;
  /**
   * @param own - Tokens that the chosen replica keeps itself.
   * @returns Where to copy parts from: a replica that is known to keep more, else where they are expected.
   */
  readonly fetchSource: (view: PromptView, chosen: string, own: number) => string | undefined;
}

/** Makes views of prompts. */
export const createPromptViews = (parts: PromptViewDependencies): PromptViews => {
  const { replicas, holders, clock } = parts;

  const viewPrompt = (prompt: Prompt, salt: string, sameWeights: readonly ReplicaState[]): PromptView => {
    const held = holders.find(salt, prompt);
    const shared = reusableParts(prompt);
    const reusable = shared.reduce((sum, { tokens }) => sum + tokens, 0);
    const deepest = shared.at(-1) ?? prompt.parts.at(-1);
    const part = hash32(`${salt} ${deepest?.id ?? ""}`);
    const home = rendezvousReplica(part, sameWeights)?.entry.id;
    return { salt, held, part, same: sameWeights, home, most: mostHeld(held), reusable };
  };

  /** Copying from a replica that doesn't answer would hold the request up. */
  const isSource = (replica: ReplicaState | undefined, now: number): boolean =>
    replica?.isUnreachable === false && !isBackingOff(replica, now);

  /** The replica that is known to keep most of the prompt, if it is more than the chosen one keeps. */
  const knownSource = (view: PromptView, chosen: string, own: number): HeldBy | undefined => {
    const now = clock.monotonic();
    let best: HeldBy | undefined;
    for (const [id, held] of view.held) {
      if (id === chosen || held.readyTokens <= own || !isSource(replicas.get(id), now)) continue;
      const more = held.readyTokens - (best?.held.readyTokens ?? 0);
      if (more > 0 || (more === 0 && held.usedAt > (best?.held.usedAt ?? 0))) best = { id, held };
    }
    return best;
  };

  /** The home; for the home itself, the replica that comes next. */
  const expectedSource = (view: PromptView, chosen: string): string | undefined => {
    const { part, same, home } = view;
    const now = clock.monotonic();
    if (home !== undefined && home !== chosen && isSource(replicas.get(home), now)) return home;
    const others = same.filter((each) => each.entry.id !== chosen && isSource(each, now));
    return rendezvousReplica(part, others)?.entry.id;
  };

  /** The store, where it is known to keep all that can be shared. */
  const savedSource = (view: PromptView): string | undefined => {
    const address = parts.findStore(view.part)?.address;
    if (address === undefined) return undefined;
    return (view.held.get(address)?.tokens ?? 0) >= view.reusable ? address : undefined;
  };

  /** An engine may have dropped what it is believed to keep; naming a source that isn't needed costs nothing. */
  const fetchSource = (view: PromptView, chosen: string, own: number): string | undefined => {
    if (view.reusable === 0) return undefined;
    const isOwn = own >= view.reusable;
    const known = isOwn ? undefined : knownSource(view, chosen, own)?.id;
    if (known !== undefined) return replicas.get(known)?.entry.address;
    const saved = savedSource(view);
    if (saved !== undefined || isOwn) return saved;
    const expected = expectedSource(view, chosen);
    return expected === undefined ? undefined : replicas.get(expected)?.entry.address;
  };

  return { viewPrompt, fetchSource };
};
