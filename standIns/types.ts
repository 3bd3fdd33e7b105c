/** Settings, faults and interface that all stand-ins have in common. */
import { z } from "zod";

/** Settings of every stand-in. */
export const commonSettings = {
  name: z.string().min(1).default("stand-in"),
  /** Loopback address to listen on. */
  host: z
    .string()
    .regex(/^127(\.\d{1,3}){3}$/)
    .default("127.0.0.1"),
  /** 0 takes a free port. */
  port: z.number().int().min(0).max(65535).default(0),
};

/** Fault switches of every stand-in. */
export const commonFaults = {
  /** Every request's connection is closed without an answer. */
  outage: z.boolean().default(false),
  /** Delay before each request is processed. */
  latencyMilliseconds: z.number().min(0).default(0),
  /** The next N requests are processed, but their connections are cut without an answer. */
  loseAnswers: z.number().int().min(0).default(0),
  /** Requests are accepted, but not processed or continued until this is reset. */
  freeze: z.boolean().default(false),
};

/** A number of milliseconds, zero or more. */
export const milliseconds = z.number().min(0);

/** The values of {@link commonFaults}; a test in the same process sets them directly. */
export type CommonFaults = z.output<z.ZodObject<typeof commonFaults>>;

/** A running stand-in; disposing of it cuts its connections and releases its port. */
export interface StandIn<Faults extends CommonFaults> extends AsyncDisposable {
  readonly kind: string;
  readonly name: string;
  /** `http://IP:PORT`. */
  readonly url: string;
  /** Fault switches, read at each request. */
  readonly faults: Faults;
  /** Counters of what it has done. */
  readonly state: () => Readonly<Record<string, unknown>>;
}
