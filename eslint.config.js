import tseslint from "typescript-eslint";

/** Which layers of `src` each layer may import from; the order is that of docs/design. */
const layers = {
  protocol: ["protocol"],
  state: ["protocol", "state"],
  coordination: ["protocol", "state", "coordination"],
  transport: ["protocol", "state", "transport"],
  daemons: ["protocol", "state", "coordination", "transport", "daemons"],
  commandLine: ["protocol", "state", "transport", "commandLine"],
};

const layerRules = Object.entries(layers).map(([layer, allowed]) => {
  const forbidden = Object.keys(layers).filter((name) => !allowed.includes(name));
  return {
    files: [`src/${layer}/**/*.ts`],
    ignores: ["**/*.test.ts"],
    rules: {
      "no-restricted-imports": [
        "error",
        {
          patterns: [
            {
              regex: `^(\\.\\./)+(${[...forbidden, "platform", "standIns", "demo", "bench", "tests"].join("|")})/`,
              message: `The ${layer} layer may import from: ${allowed.join(", ")}.`,
            },
            { group: ["node:child_process", "node:cluster"], message: "A process starts no other process." },
          ],
        },
      ],
    },
  };
});

/** What the platform's adapter alone may name: headers, paths, topics and settings of its pages. */
const platformNames =
  "^x-(replica-|expect-|not-executed|cache-salt|kv-|weight-versions|prefix-hash|token-count|pin-ms|hold|tenant|deadline-ms|request-priority|model$)|^kv-|/-/|log-(append|newest|read|join)|keyed\\.|^server-(limit|leaving)|POMELOCLEAT_BOOT";

const platformNamesRule = {
  files: ["src/**/*.ts", "bench/**/*.ts", "demo/**/*.ts", "soak/**/*.ts", "tools/**/*.ts"],
  rules: {
    "no-restricted-syntax": [
      "error",
      ...["Literal[value=", "TemplateElement[value.raw="].map((selector) => ({
        selector: `${selector}/${platformNames.replaceAll("/", "\\/")}/i]`,
        message: "Only platform/ names what the platform's pages name.",
      })),
    ],
  },
};

/** The product may not know its adapter; the adapter may use the product. */
const adapterRule = {
  files: ["src/**/*.ts", "bench/**/*.ts", "demo/**/*.ts", "soak/**/*.ts", "tools/**/*.ts"],
  ignores: ["**/*.test.ts"],
  rules: {
    "no-restricted-imports": ["error", { patterns: [{ regex: "^(\\.\\./)+platform/" }] }],
  },
};

export default tseslint.config(
  { ignores: ["build/**", "target/**", "node_modules/**", "**/generated/**", "*.js", "deploy/*.mjs"] },
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    linterOptions: { reportUnusedDisableDirectives: "error" },
    rules: {
      "prefer-arrow-callback": "error",
      "func-style": ["error", "expression"],
      "max-lines": ["error", { max: 450, skipComments: true, skipBlankLines: true }],
      "max-lines-per-function": ["error", { max: 130, skipComments: true, skipBlankLines: true }],
      "@typescript-eslint/consistent-type-imports": "error",
      "@typescript-eslint/restrict-template-expressions": [
        "error",
        { allowNumber: true, allowBoolean: true },
      ],
      "@typescript-eslint/no-confusing-void-expression": ["error", { ignoreArrowShorthand: true }],
    },
  },
  adapterRule,
  {
    // Tasks that nobody waits for go through src/state/backgroundTasks.ts, which reports their failures.
    files: ["src/**/*.ts", "platform/**/*.ts"],
    ignores: ["**/*.test.ts"],
    rules: { "@typescript-eslint/no-floating-promises": ["error", { ignoreVoid: false }] },
  },
  ...layerRules,
  platformNamesRule,
  {
    files: ["**/*.test.ts", "tests/**/*.ts"],
    rules: {
      "max-lines-per-function": "off",
      // node:test's describe/it return promises that its runner awaits.
      "@typescript-eslint/no-floating-promises": "off",
    },
  },
);
