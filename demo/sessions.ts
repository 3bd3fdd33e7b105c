/** The requests of the two sessions that the demo plays. */

/** One request of a session. */
export interface SessionStep {
  readonly organisation: string;
  readonly requestClass: string;
  readonly path: string;
  readonly body: object;
  /** Marks the request as non-idempotent, so that it runs at most once. */
  readonly once?: boolean;
}

const repeatLines = (count: number, line: (index: number) => string): string =>
  Array.from({ length: count }, (_, index) => line(index)).join("\n");

const consortiumRules = repeatLines(
  40,
  (index) => `Rule ${index + 1}: a record of currency is valid for twelve months from the sign-off.`,
);
const memberRules = (member: string): string =>
  repeatLines(20, (index) => `${member}, note ${index + 1}: rosters close at four in the morning.`);
const courseHistory = repeatLines(
  60,
  (index) => `Session ${index + 1}: safety drill and first-aid renewal, door trainer signed off.`,
);
const orderHistory = repeatLines(
  80,
  (index) => `Order ${index + 1}: ${(index * 7) % 90} cards of corozo buttons, trim family ${index % 9}.`,
);

const createChatBody = (model: string, contents: readonly string[], maximumTokens: number): object => ({
  model,
  stream: true,
  stream_options: { include_usage: true },
  max_tokens: maximumTokens,
  messages: contents.map((content, index) => ({
    role: index < contents.length - 1 ? "system" : "user",
    content,
  })),
});

const chatPath = "/v1/chat/completions";

const createCurrencyCheck = (organisation: string, attendant: number): SessionStep => ({
  organisation,
  requestClass: "currency-check",
  path: chatPath,
  body: createChatBody(
    "records-assistant",
    [consortiumRules, memberRules(organisation), `Is attendant ${attendant} current? Answer yes or no.`],
    4,
  ),
});

/** Short checks of rival carriers, a long summary, a sign-off, and an idempotent call to the records desk. */
export const levantSession: readonly SessionStep[] = [
  createCurrencyCheck("petra-wings", 17),
  createCurrencyCheck("petra-wings", 18),
  createCurrencyCheck("royal-desert-air", 17),
  createCurrencyCheck("petra-wings", 19),
  {
    organisation: "aqaba-express",
    requestClass: "course-summary",
    path: chatPath,
    body: createChatBody(
      "records-assistant",
      [consortiumRules, memberRules("aqaba-express"), courseHistory, "Summarise the course history."],
      120,
    ),
  },
  {
    organisation: "petra-wings",
    requestClass: "sign-off",
    path: "/services/records-desk/sign-offs",
    body: { attendant: 17, drill: "slide" },
    once: true,
  },
  {
    organisation: "royal-desert-air",
    requestClass: "sign-off",
    path: "/services/records-desk/attendants",
    body: { attendant: 18 },
  },
];

const createReconciliation = (question: string): SessionStep => ({
  organisation: "bottega-catania",
  requestClass: "reconciliation",
  path: chatPath,
  body: createChatBody("modelli", [consortiumRules, orderHistory, question], 100),
});

/** Two long reconciliations with the same history, a tagging request, and a price look-up. */
export const trinacriaSession: readonly SessionStep[] = [
  createReconciliation("Check the season against the supplier list."),
  createReconciliation("List the orders that no supplier confirmed."),
  {
    organisation: "bottega-palermo",
    requestClass: "line-tagging",
    path: chatPath,
    body: createChatBody("modelli", [consortiumRules, "Tag: corozo, 18 mm, four holes."], 8),
  },
  {
    organisation: "bottega-palermo",
    requestClass: "price-lookup",
    path: chatPath,
    body: createChatBody("modelli", [consortiumRules, "Price of horn toggles, 40 mm?"], 8),
  },
];
