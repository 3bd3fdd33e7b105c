/** A stand-in for the platform's VM list, which shows changes only after a configurable lag. */
import { createHash } from "node:crypto";
import { z } from "zod";
import type { ListedVm } from "../src/protocol/types.ts";
import { refusal } from "./errors.ts";
import { jsonAnswer, parseBody, startServer, type Answer, type Exchange } from "./httpServer.ts";
import { commonFaults, commonSettings, milliseconds, type StandIn } from "./types.ts";
import { createHistory } from "./waiting.ts";

const stateSchema = z.enum(["live", "leaving"]);
const vmSchema = z.strictObject({
  id: z.string(),
  dataCentre: z.string(),
  url: z.string(),
  peerUrl: z.string().optional(),
  role: z.enum(["router", "engine", "service", "keyValueStore"]),
  pool: z.string(),
  state: stateSchema,
});
const listSchema = z.strictObject({ vms: z.array(vmSchema) });
const changeSchema = z.strictObject({ state: stateSchema });

const settingsSchema = z.strictObject({
  ...commonSettings,
  vms: z.array(vmSchema).default([]),
  lagMilliseconds: milliseconds.default(0),
});
export type VmListStandInSettings = z.input<typeof settingsSchema>;

const faultsSchema = z.strictObject(commonFaults);
export type VmListStandInFaults = z.output<typeof faultsSchema>;

/** A running stand-in of the VM list. */
export interface VmListStandIn extends StandIn<VmListStandInFaults> {
  /** Replaces the whole list; readers see the change after the lag. */
  readonly set: (vms: readonly ListedVm[]) => void;
}

/** Starts a stand-in of the VM list. */
export const createVmListStandIn = async (input: VmListStandInSettings = {}): Promise<VmListStandIn> => {
  const settings = settingsSchema.parse(input);
  const counts = { reads: 0, sent: 0 };
  const history = createHistory<readonly ListedVm[]>(settings.vms);

  const answer = (lagMilliseconds: number): Answer => jsonAnswer({ vms: history.read(lagMilliseconds) });

  /** Answers with an `ETag`, or with 304 if the reader already has the current version. */
  const read = ({ request }: Exchange): Answer => {
    counts.reads += 1;
    const { body } = answer(settings.lagMilliseconds);
    const tag = `"${createHash("sha256")
      .update(body as string)
      .digest("base64url")}"`;
    if (request.headers["if-none-match"] === tag) return { status: 304, headers: { etag: tag }, body: "" };
    counts.sent += 1;
    return { status: 200, headers: { "content-type": "application/json", etag: tag }, body };
  };

  const replace = ({ body }: Exchange): Answer => {
    history.record(parseBody(listSchema, body).vms);
    return answer(0);
  };

  const withOne = (id: string, change: (vm: ListedVm) => readonly ListedVm[]): Answer => {
    const vms = history.read(0);
    if (!vms.some((vm) => vm.id === id)) throw refusal(404, "unknown_vm");
    history.record(vms.flatMap((vm) => (vm.id === id ? change(vm) : [vm])));
    return answer(0);
  };

  const changeOne = ({ parameters, body }: Exchange): Answer => {
    const { state } = parseBody(changeSchema, body);
    return withOne(parameters.id ?? "", (vm) => [{ ...vm, state }]);
  };

  const removeOne = ({ parameters }: Exchange): Answer => withOne(parameters.id ?? "", () => []);

  const state = (): Record<string, unknown> => ({ ...counts, vms: history.read(0).length });

  const server = await startServer({
    ...settings,
    faultsSchema,
    state,
    routes: [
      { method: "GET", path: "/vms", handler: read },
      { method: "POST", path: "/stand-in/vms", handler: replace },
      { method: "POST", path: "/stand-in/vms/:id", handler: changeOne },
      { method: "DELETE", path: "/stand-in/vms/:id", handler: removeOne },
    ],
  });
  return { ...server, kind: "vmList", name: settings.name, state, set: history.record };
};
