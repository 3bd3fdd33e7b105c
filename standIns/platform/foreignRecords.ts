/** Records as other writers may write them: they have values of the right type that can't be used. */
import { createRandom } from "../../bench/model/random.ts";

/** A record of one of the store's topics. */
export interface ForeignRecord {
  readonly topic: string;
  readonly key: string;
  readonly value: unknown;
}

/** More than a text in a message between routers holds. */
const longText = "x".repeat(300);

const texts = ["", longText, "\ud800", "a\r\nb", "m", "127.0.0.1:70000", "::1", null, 7] as const;
const numbers = [-1, 0, 0.5, 65_536, 70_000, 2 ** 31, 2 ** 53, 1e300, "1", null] as const;

const addresses = ["127.0.0.1:70000", "127.0.0.1:0", "127.0.0.300:80", "localhost:80", longText] as const;

const replica = {
  service: "desk",
  address: "127.0.0.1:70000",
  zone: "here",
  slots: 6,
  state: "ready",
  models: [],
} as const;

const router = {
  name: "foreign-router",
  incarnation: "foreign",
  dataCentre: "here",
  address: "127.0.0.1",
  port: 70_000,
  isBootstrapped: true,
} as const;

/**
 * Creates a record in each topic that routers read. None of them describes anything that can be used.
 *
 * @param seed - Selects the values.
 */
export const createForeignRecords = (seed: number): readonly ForeignRecord[] => {
  const random = createRandom(seed, "foreign-records");
  const pick = <T>(values: readonly T[]): T => {
    const value = values[Math.floor(random.uniform() * values.length)];
    if (value === undefined) throw new TypeError("nothing to pick from");
    return value;
  };
  const service = pick(["desk", "engines", "another-service"]);
  const name = pick(texts);
  return [
    { topic: "keyed.servers", key: "foreign-0", value: { ...replica, service, address: pick(addresses) } },
    {
      topic: "keyed.servers",
      key: `foreign-1${longText.slice(0, 230)}`,
      value: { ...replica, service, address: "127.0.0.1:9", slots: pick([0, -1, 0.5, 1e300]) },
    },
    { topic: "keyed.op", key: "version/long", value: { model: longText, version: 1 } },
    { topic: "keyed.op", key: "version/odd", value: { model: name, version: pick([-1, 0.5, 1e300, "1"]) } },
    { topic: "keyed.operator-copies", key: "version/long", value: { model: longText, version: 1 } },
    { topic: "keyed.routers", key: "foreign-0", value: router },
    {
      topic: "keyed.routers",
      key: "foreign-1",
      value: { ...router, address: pick(["localhost", "127.0.0.300", longText]), port: pick(numbers) },
    },
    {
      topic: "keyed.quarantine",
      key: "foreign-0",
      value: { kind: "part", name: longText, trials: pick(numbers), trial: name },
    },
  ];
};
