import { describe, it } from "node:test";
import { expect } from "earl";
import { bounds } from "../../tests/support/forwardingFixture.ts";
import { measureRegistry } from "./registry.ts";

describe("routers that rely on others' reads of the registry", () => {
  // Readers that know of the draining from an answer must still tell the others to read.
  it("stop sending requests to a draining replica within the bound, at 6 and 58 routers", async (context) => {
    for (const size of [
      { routers: 6, dataCentres: 1 },
      { routers: 58, dataCentres: 4 },
    ]) {
      const { lastRouterStopsAfter = Number.POSITIVE_INFINITY } = await measureRegistry(size);
      context.diagnostic(`${size.routers} routers: ${lastRouterStopsAfter} ms`);
      expect(lastRouterStopsAfter <= bounds.drain).toEqual(true);
    }
  });
});
