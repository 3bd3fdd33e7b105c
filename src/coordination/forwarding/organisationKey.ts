/** The key under which routers count an organisation's work. */
import { hash32 } from "../../protocol/prefixLevels.ts";
import type { Admission } from "./types.ts";

/** The key of requests without an organisation, which are not counted. */
export const noOrganisation = 0;

/** @returns The key of a request's organisation, the same in every process. */
export const organisationKeyOf = ({ organisation }: Pick<Admission, "organisation">): number =>
  organisation === undefined ? noOrganisation : hash32(organisation.name);
