/** The views of one prompt, created for each weights version that is compared. */
import type { Prompt } from "../../protocol/forwarding/types.ts";
import type { ReplicaState } from "../../state/forwarding/replicaState.ts";
import type { ReplicaTable } from "../../state/forwarding/replicaTable.ts";
import type { Admission } from "../forwarding/types.ts";
import type { PromptView, PromptViews } from "./promptView.ts";

export interface VersionViews {
  /** @returns The version of the prompt's model at a replica; 0 if unknown. */
  readonly versionOf: (replica: ReplicaState) => number;
  readonly viewOf: (version: number) => PromptView;
}

/** Slashes in names are escaped, so that no isolated organisation can have the salt that the others share. */
const saltFor = ({ organisation, table }: Admission, model: string, version: number): string =>
  organisation?.isIsolated === true
    ? `${model}/${version}/${organisation.name.replaceAll("%", "%25").replaceAll("/", "%2F")}`
    : `${model}/${version}/${table.isolationKey === "" ? "" : `/${table.isolationKey}`}`;

/** @returns Views that are created when they are first used. */
export const createVersionViews = (
  replicas: Pick<ReplicaTable, "serving">,
  viewPrompt: PromptViews["viewPrompt"],
  prompt: Prompt,
  admission: Admission,
): VersionViews => {
  const views = new Map<number, PromptView>();
  const versionOf = ({ weights }: ReplicaState): number => weights.get(prompt.model) ?? 0;
  const viewOf = (version: number): PromptView => {
    const existing = views.get(version);
    if (existing !== undefined) return existing;
    // Includes replicas that get no new work at the moment: others can still copy parts from them.
    const sameVersion = replicas
      .serving(admission.service.name)
      .filter((each) => versionOf(each) === version);
    const created = viewPrompt(prompt, saltFor(admission, prompt.model, version), sameVersion);
    views.set(version, created);
    return created;
  };
  return { versionOf, viewOf };
};
