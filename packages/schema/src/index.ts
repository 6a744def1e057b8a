export {
    backendServerSchema,
    classSchema,
    configurationSchema,
    customerSchema,
    keySchema,
    limitsSchema,
    poolSchema,
    routeSchema,
} from "./configuration/configurationSchema.js";
export type {
    BackendServer,
    Configuration,
    Customer,
    Key,
    Limits,
    Pool,
    RequestClass,
    Route,
} from "./configuration/configurationSchema.js";
export { NodeIdentitySchema, file_pimentocleat_v1_common } from "./generated/pimentocleat/v1/common_pb.js";
export type { NodeIdentity } from "./generated/pimentocleat/v1/common_pb.js";
export * from "./generated/pimentocleat/v1/peers_pb.js";
export { formatSettingsHelp, formatSettingsPage, listSettings } from "./settings/settingDescriptions.js";
export type { SettingDescription } from "./settings/settingDescriptions.js";
export { readSettings, SettingsError } from "./settings/readSettings.js";
export type { SettingsInput, SettingsRequest } from "./settings/readSettings.js";
export { settingsSchema } from "./settings/settingsSchema.js";
export type { SettingName, Settings } from "./settings/settingsSchema.js";
export { formatProblem } from "./configuration/configurationProblem.js";
export type {
    ConfigurationFile,
    ConfigurationLocation,
    ConfigurationProblem,
} from "./configuration/configurationProblem.js";
export { ConfigurationParser, parseConfiguration } from "./configuration/parseConfiguration.js";
export type { ParsedConfiguration } from "./configuration/parseConfiguration.js";
export * from "./generated/pimentocleat/v1/operator_pb.js";
