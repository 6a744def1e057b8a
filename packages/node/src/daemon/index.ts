export { Daemon } from "./daemon.js";
export type { DaemonAddresses, DaemonOptions } from "./daemonOptions.js";
export { createPlatformServices } from "./platformServices.js";
export type { PlatformServices } from "./platformServices.js";
export { NoUsage } from "./nodeUsage.js";
export type { NodeUsage } from "./nodeUsage.js";
