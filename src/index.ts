/** The library's public API: everything needed to embed a router or to write adapters for it. */
export * from "./protocol/constants.ts";
export * from "./protocol/errors.ts";
export type * from "./protocol/types.ts";
export * from "./protocol/configuration/schema.ts";
export { ModelEngine } from "./protocol/ModelEngine.ts";
export { PlainService } from "./protocol/PlainService.ts";
export { LogService } from "./protocol/LogService.ts";
export { VmList } from "./protocol/VmList.ts";
export { checkConfiguration, parseConfiguration } from "./protocol/configuration/check.ts";
export type { ConfigurationCheck } from "./protocol/configuration/check.ts";
export { createConfigurationHistory } from "./state/configurationHistory.ts";
export { createHttpLogService } from "./transport/httpLogService.ts";
export { createHttpVmList } from "./transport/httpVmList.ts";
export { startRouter } from "./daemons/router.ts";
export type { Router } from "./daemons/router.ts";
export { parseRouterSettings, readRouterSettings } from "./daemons/routerSettings.ts";
export type { RouterSettings } from "./daemons/routerSettings.ts";
