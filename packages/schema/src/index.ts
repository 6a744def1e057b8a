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
