/** The schema of quarantine records, wherever they are stored. */
import { z } from "zod";
import { count, messageText } from "../usableValues.ts";
import { traitKinds } from "./requestTrait.ts";

export const quarantineSchema = z.object({
  // Routers of earlier versions quarantine contents only, and name no kind.
  kind: z.enum(traitKinds).default("content"),
  name: messageText.default(""),
  trials: count,
  trial: messageText,
});
