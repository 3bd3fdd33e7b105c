/**
 * What routers tell one another in datagrams: short, repeated, and of no use to anybody once newer ones have
 * come. Arrays keep them small, since bytes between data centres are paid for.
 */
import { z } from "zod";

const count = z.number().min(0);

const peerMessageSchema = z.object({
  /** The sender's name and incarnation. */
  name: z.string().max(200),
  incarnation: z.string().max(100),
  /** When it was sent, on the sender's monotonic clock. */
  sentAt: z.number(),
  /** The newest `sentAt` that the sender has from the receiver; nothing before the first message. */
  echo: z.number().optional(),
  /** The configuration version, and how old the sender's proof is that there is no newer one, milliseconds. */
  configuration: z.tuple([z.number(), count]).optional(),
  /**
   * The sender's own work: replica, requests, and by priority, from the most urgent to the last that has any, the
   * prompt tokens of those without a first token.
   */
  work: z.array(z.tuple([z.string(), count, z.array(count)])).default([]),
  /** Weights that replicas run: replica, model, version. */
  weights: z.array(z.tuple([z.string(), z.string(), count])).default([]),
  /** Replicas that get no new work for so many milliseconds. */
  changing: z.array(z.tuple([z.string(), count])).default([]),
  /** Replicas that leave. */
  leaving: z.array(z.string()).default([]),
  /** Prompt parts that replicas keep, as far as the sender has just learned: key, holder. */
  holders: z.array(z.tuple([count, z.string()])).default([]),
  /** Weights wanted, and how long the sender has known of them: model, version, milliseconds. */
  wanted: z.array(z.tuple([z.string(), count, count])).default([]),
  /** The sender takes no duties any more. */
  standsDown: z.boolean().default(false),
  /** The sender ends. */
  ends: z.boolean().default(false),
});

/** One datagram. */
export type RouterMessage = Readonly<z.output<typeof peerMessageSchema>>;

const shortNames = {
  name: "n",
  incarnation: "i",
  sentAt: "t",
  echo: "e",
  configuration: "c",
  work: "w",
  weights: "v",
  changing: "g",
  leaving: "l",
  holders: "h",
  wanted: "m",
  standsDown: "d",
  ends: "x",
} as const satisfies Readonly<Record<keyof RouterMessage, string>>;

const isWorthSending = (value: unknown): boolean =>
  value !== undefined && value !== false && !(Array.isArray(value) && value.length === 0);

/** @returns The datagram, without what is empty. */
export const encodeRouterMessage = (message: RouterMessage): Buffer => {
  const fields: Record<string, unknown> = {};
  for (const [name, short] of Object.entries(shortNames)) {
    const value = message[name as keyof RouterMessage];
    if (isWorthSending(value)) fields[short] = value;
  }
  return Buffer.from(JSON.stringify(fields));
};

/** @returns Nothing if the datagram is no such message. */
export const decodeRouterMessage = (datagram: Buffer): RouterMessage | undefined => {
  try {
    const fields = JSON.parse(datagram.toString()) as Readonly<Record<string, unknown>>;
    const named = Object.entries(shortNames).map(([name, short]) => [name, fields[short]]);
    return peerMessageSchema.safeParse(Object.fromEntries(named)).data;
  } catch {
    return undefined;
  }
};
