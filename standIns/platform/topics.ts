/** Topics of the platform's store in memory, by its published protocol. */

/** One record; the value of a keyed record is behind its key. */
export interface StoredRecord {
  readonly offset: number;
  readonly bytes: Buffer;
}

interface TopicBackup {
  readonly records: readonly StoredRecord[];
  readonly end: number;
  readonly keys: ReadonlyMap<string, StoredRecord>;
}

/** The store as it was at a moment, by topic. */
export type StoreBackup = ReadonlyMap<string, TopicBackup>;

/** See {@link createTopics}. */
export interface Topics {
  /** Rises each time the store returns from a copy. */
  readonly epoch: () => number;
  readonly backUp: () => StoreBackup;
  /** Loses everything that is not in a copy; offsets from its end on are given out again. */
  readonly restore: (backUp: StoreBackup) => void;
  /** @returns The offset of the first record. */
  readonly append: (topic: string, records: readonly Buffer[]) => number;
  /** @returns The records from an offset on; nothing if they are no longer kept, or the topic ends before it. */
  readonly read: (topic: string, from: number) => readonly StoredRecord[] | undefined;
  readonly first: (topic: string) => number;
  readonly end: (topic: string) => number;
  /** The newest record of each key, those that were dropped left out. */
  readonly newest: (topic: string) => ReadonlyMap<string, StoredRecord>;
  /** Deletes the records before an offset; the newest of each key stay. */
  readonly trim: (topic: string, before: number) => void;
  /** Resolves when a topic has a record at an offset, when the store returns from a copy, or after a time. */
  readonly waitFor: (topic: string, offset: number, milliseconds: number) => Promise<void>;
}

interface Topic {
  records: StoredRecord[];
  end: number;
  readonly keys: Map<string, StoredRecord>;
  readonly waiting: Set<() => void>;
}

const lengthBytes = 4;

/** Cuts the body of an append into records. */
export const splitRecords = (body: Buffer): readonly Buffer[] => {
  const records: Buffer[] = [];
  for (let at = 0; at < body.length;) {
    const end = at + lengthBytes + body.readUInt32BE(at);
    records.push(body.subarray(at + lengthBytes, end));
    at = end;
  }
  return records;
};

/** A record with a key; without a value it drops the key. */
export const keyedRecord = (key: string, value: unknown): Buffer => {
  const text = value === undefined ? "" : JSON.stringify(value);
  return Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(text)]);
};

const keyOf = (bytes: Buffer): string => bytes.toString("utf8", 1, 1 + (bytes[0] ?? 0));

/** @returns The value of a keyed record; empty if it drops its key. */
export const valueOf = (bytes: Buffer): Buffer => bytes.subarray(1 + (bytes[0] ?? 0));

/** Creates a store without topics. */
export const createTopics = (): Topics => {
  const topics = new Map<string, Topic>();
  let epoch = 1;

  const topicOf = (name: string): Topic => {
    const known = topics.get(name);
    if (known !== undefined) return known;
    const made: Topic = { records: [], end: 0, keys: new Map(), waiting: new Set() };
    topics.set(name, made);
    return made;
  };

  const noteKey = ({ keys }: Topic, record: StoredRecord): void => {
    const key = keyOf(record.bytes);
    if (valueOf(record.bytes).length === 0) keys.delete(key);
    else keys.set(key, record);
  };

  const append = (name: string, records: readonly Buffer[]): number => {
    const topic = topicOf(name);
    const first = topic.end;
    for (const bytes of records) {
      const record = { offset: topic.end, bytes: Buffer.from(bytes) };
      topic.records.push(record);
      topic.end += 1;
      if (name.startsWith("keyed.")) noteKey(topic, record);
    }
    for (const wake of [...topic.waiting]) wake();
    return first;
  };

  const copy = (): StoreBackup =>
    new Map(
      [...topics].map(([name, { records, end, keys }]) => [
        name,
        { records: [...records], end, keys: new Map(keys) },
      ]),
    );

  const returnFrom: Topics["restore"] = (copied) => {
    epoch += 1;
    for (const [name, topic] of topics) {
      const { records = [], end = 0, keys = [] } = copied.get(name) ?? {};
      topic.records = [...records];
      topic.end = end;
      topic.keys.clear();
      for (const [key, record] of keys) topic.keys.set(key, record);
      for (const wake of [...topic.waiting]) wake();
    }
  };

  const firstOf = ({ records, end }: Topic): number => records[0]?.offset ?? end;

  return {
    epoch: () => epoch,
    backUp: copy,
    restore: returnFrom,
    append,
    read: (name, from) => {
      const topic = topicOf(name);
      if (from < firstOf(topic) || from > topic.end) return undefined;
      return topic.records.filter(({ offset }) => offset >= from);
    },
    first: (name) => firstOf(topicOf(name)),
    end: (name) => topicOf(name).end,
    newest: (name) => topicOf(name).keys,
    trim: (name, before) => {
      const topic = topicOf(name);
      topic.records = topic.records.filter(({ offset }) => offset >= before);
    },
    waitFor: (name, offset, milliseconds) => {
      const topic = topicOf(name);
      if (topic.end !== offset) return Promise.resolve();
      return new Promise((resolve) => {
        const wake = (): void => {
          clearTimeout(timer);
          topic.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, milliseconds);
        topic.waiting.add(wake);
      });
    },
  };
};
