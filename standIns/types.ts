/** What the stand-ins for outside systems have in common. */
import { z } from "zod";

/** Settings that every stand-in takes. */
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

/** Faults that every stand-in has. */
export const commonFaults = {
  /** Every call is refused by closing its connection. */
  outage: z.boolean().default(false),
  /** Time before each call takes effect. */
  latencyMilliseconds: z.number().min(0).default(0),
  /** The next N calls take effect, but their connections are cut with no answer. */
  loseAnswers: z.number().int().min(0).default(0),
  /** Calls are accepted but neither take effect nor go on until this is unset. */
  freeze: z.boolean().default(false),
};

/** A number of milliseconds, zero by default. */
export const milliseconds = z.number().min(0);

/** The fault switches of {@link commonFaults}; a test sets them directly. */
export type CommonFaults = z.output<z.ZodObject<typeof commonFaults>>;

/** A running stand-in; disposing of it cuts its connections and frees its port. */
export interface StandIn<Faults extends CommonFaults> extends AsyncDisposable {
  readonly kind: string;
  readonly name: string;
  /** `http://IP:PORT`. */
  readonly url: string;
  /** Fault switches, read at each call. */
  readonly faults: Faults;
  /** Counts of what it has done. */
  readonly state: () => Readonly<Record<string, unknown>>;
}
