/**
 * Takes on requests of callers that other routers pass on. The port offers nothing that the callers' port does not:
 * each request is admitted by the caller's own key and this router's configuration, limits and quarantine. A request is
 * accepted only from the address of a known router that names this very process.
 */
import { outcomes } from "../../protocol/constants.ts";
import { requestError } from "../../protocol/errors.ts";
import type { RawRequest } from "../../protocol/forwarding/ForwardingWire.ts";
import { ForwardingWire } from "../../protocol/forwarding/ForwardingWire.ts";
import { relayCodes } from "../../protocol/forwarding/RelayClient.ts";
import type { AnswerHead, CallerRequest } from "../../protocol/forwarding/types.ts";
import { metricNames } from "../../state/constants.ts";
import { createLogger } from "../../state/log.ts";
import type { ForwardingServer, ForwardingServerDependencies } from "./forwardingServer.ts";
import { startForwardingServer } from "./forwardingServer.ts";
import { encodeRelayRouter, encodeRelaySentTo, takeRelayRequest } from "./relayHeaders.ts";

export interface RelayServerDependencies extends Pick<
  ForwardingServerDependencies,
  | "address"
  | "port"
  | "listener"
  | "wire"
  | "admitHead"
  | "forward"
  | "limits"
  | "intake"
  | "callerBufferBytes"
  | "maxConnections"
  | "metrics"
> {
  /** Identifies this process; a request that names another one is refused. */
  readonly incarnation: string;
  /** Whether a known router has this address. */
  readonly isRouterAddress: (address: string) => boolean;
}

/** Requests that may be in progress for other routers: each holds its body and the part of its answer that is unread. */
const maxRelayed = 192;

/** Retry-After where there are more, seconds. */
const busyRetryAfter = 0.25;

const writeLog = createLogger("relay");

const notAccepted = () =>
  requestError("This router accepts requests of other routers only; it has not run.", {
    status: 403,
    code: relayCodes.notAccepted,
    outcome: outcomes.notRun,
  });

const relayBusy = () =>
  requestError("Too many requests of other routers are in progress; it has not run.", {
    status: 503,
    code: relayCodes.busy,
    outcome: outcomes.notRun,
    retryAfterSeconds: busyRetryAfter,
  });

/** Decodes requests that another router passes on. */
class RelayWire extends ForwardingWire {
  private readonly wire: ForwardingWire;
  private readonly incarnation: string;
  private readonly onRejected: () => void;

  constructor(wire: ForwardingWire, incarnation: string, onRejected: () => void) {
    super();
    this.wire = wire;
    this.incarnation = incarnation;
    this.onRejected = onRejected;
  }

  override decodeRequest(raw: RawRequest): CallerRequest {
    const { relay, rest } = takeRelayRequest(raw.headers);
    if (relay?.router !== this.incarnation) {
      this.onRejected();
      throw notAccepted();
    }
    const { source, sentTo } = relay;
    return { ...this.wire.decodeRequest({ ...raw, headers: rest }), relayed: { source, sentTo } };
  }

  override encodeRequest(...request: Parameters<ForwardingWire["encodeRequest"]>): string[] {
    return this.wire.encodeRequest(...request);
  }

  override encodeCall(...call: Parameters<ForwardingWire["encodeCall"]>): string[] {
    return this.wire.encodeCall(...call);
  }

  override decodeAnswer(...answer: Parameters<ForwardingWire["decodeAnswer"]>): AnswerHead {
    return this.wire.decodeAnswer(...answer);
  }

  override isReadyPath(path: string): boolean {
    return this.wire.isReadyPath(path);
  }
}

/** Starts the server; resolves once it listens. */
export const startRelayServer = async (dependencies: RelayServerDependencies): Promise<ForwardingServer> => {
  const { incarnation, isRouterAddress, metrics, forward } = dependencies;
  let inProgress = 0;

  const noteRejected = (reason: "address" | "process"): void => {
    metrics.count(metricNames.relaysRejected, 1, { reason });
    writeLog("rejected", { reason });
  };

  const track = async function* (body: AsyncIterable<Buffer>): AsyncGenerator<Buffer, void> {
    try {
      yield* body;
    } finally {
      inProgress -= 1;
    }
  };

  return startForwardingServer({
    ...dependencies,
    name: "relay",
    wire: new RelayWire(dependencies.wire, incarnation, () => noteRejected("process")),
    forward: async (request, signal) => {
      if (inProgress >= maxRelayed) throw relayBusy();
      inProgress += 1;
      try {
        const answer = await forward(request, signal);
        const headers = [...answer.headers, ...encodeRelaySentTo(answer.sentTo)];
        if (!Buffer.isBuffer(answer.body)) return { ...answer, headers, body: track(answer.body) };
        inProgress -= 1;
        return { ...answer, headers };
      } catch (error) {
        inProgress -= 1;
        throw error;
      }
    },
    shouldCloseConnections: () => false,
    mayConnect: (address) => {
      const isKnown = isRouterAddress(address);
      if (!isKnown) noteRejected("address");
      return isKnown;
    },
    commonHeaders: encodeRelayRouter(incarnation),
  });
};
