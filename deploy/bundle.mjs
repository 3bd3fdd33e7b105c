/** Builds the platform's router into one file, so that a start reads and compiles no more than it runs. */
import { build } from "esbuild";

await build({
  entryPoints: ["platform/main.ts"],
  outfile: "target/router.mjs",
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  minifySyntax: true,
  legalComments: "none",
  // Bundled CommonJS packages ask for Node's own modules by `require`.
  banner: {
    js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
  },
});
