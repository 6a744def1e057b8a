export type {
    AnswerMeaning,
    BackendCall,
    BackendProtocol,
    ResponseHeaderLoad,
    SentRequest,
} from "./backends/backendProtocol.js";
export type { NamedBrittleness, NamedLimit, RequestedPause, ServerNotice } from "./backends/serverNotice.js";
export { registeredServerSchema } from "./backends/backendServer.js";
export type { RegisteredServer } from "./backends/backendServer.js";
export { ServerDirectory } from "./backends/serverDirectory.js";
export type { CallerProtocol, CallerRefusal } from "./callers/callerProtocol.js";
export { ActiveConfiguration } from "./configuration/activeConfiguration.js";
export type {
    CallerBounds,
    ColdStartRule,
    CustomerRule,
    EngineTraits,
    GatewayConfiguration,
    OrderingRule,
    RouteKind,
    RouteRule,
    RouteTarget,
    ServiceRule,
} from "./configuration/gatewayConfiguration.js";
export { computePriority } from "./dispatch/gatewayRequest.js";
export type { ExplainedServer, ExplainedService, RouteExplanation } from "./dispatch/routeExplainer.js";
export type { CallerHead, GatewayRequest } from "./dispatch/gatewayRequest.js";
export { GatewayDaemon } from "./lifecycle/gatewayDaemon.js";
export type { GatewayDaemonOptions } from "./lifecycle/gatewayDaemon.js";
export type { PlatformAdapter } from "./lifecycle/platformAdapter.js";
export {
    GatewaySettingsError,
    gatewaySettingsSchema,
    parseGatewaySettings,
} from "./settings/gatewaySettings.js";
export type { GatewaySettings } from "./settings/gatewaySettings.js";
