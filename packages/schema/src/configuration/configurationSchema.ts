/**
 * Schema of the configuration that operators write as a folder of YAML files, after the files are merged.
 *
 * @packageDocumentation
 */
import { z } from "zod";

const nameSchema = z
    .string()
    .regex(
        /^[a-z0-9][a-z0-9._-]{0,62}$/,
        "use 1 to 63 lower-case letters, digits, dots, dashes or underscores",
    );

/** Limits of one customer or key; an absent limit means that there is none. */
export const limitsSchema = z.strictObject({
    requestsPerSecond: z.number().positive().optional().describe("Requests per second over all nodes."),
    tokensPerMinute: z.number().positive().optional().describe("Generated tokens per minute over all nodes."),
    concurrency: z.int().positive().optional().describe("Requests in flight over all nodes."),
});

/** A customer: the unit of billing and of the fair sharing of capacity. */
export const customerSchema = z.strictObject({
    name: nameSchema.describe("Unique name."),
    weight: z.number().positive().default(1).describe("Share relative to other customers of the same class."),
    limits: limitsSchema.default({}).describe("Limits over all keys of the customer."),
    classes: z
        .array(nameSchema)
        .optional()
        .describe("Request classes that the customer may use; absent means all."),
});

/** A key, stored as the SHA-256 digest of its secret. */
export const keySchema = z.strictObject({
    id: nameSchema.describe("Unique identifier; not secret."),
    customer: nameSchema.describe("The customer that the key belongs to."),
    digest: z
        .string()
        .regex(/^[0-9a-f]{64}$/, "use the 64 hexadecimal digits printed by `pimentocleat key create`")
        .describe("SHA-256 of the secret, in hexadecimal."),
    defaultClass: nameSchema.optional().describe("Request class of requests that specify none."),
    limits: limitsSchema.default({}).describe("Limits of this key alone."),
    withdrawn: z.boolean().default(false).describe("Whether the key has been withdrawn."),
});

/** A request class: its priority and its latency target. */
export const classSchema = z.strictObject({
    name: nameSchema.describe("Unique name."),
    tier: z.int().min(1).max(9).describe("Priority; 1 is the highest tier."),
    weight: z.number().positive().default(1).describe("Share relative to other classes of the same tier."),
    firstTokenMs: z
        .int()
        .positive()
        .describe("Target for the first token or for a complete short response, in milliseconds."),
    betweenTokensMs: z.int().positive().optional().describe("Target between two tokens, in milliseconds."),
    completeMs: z.int().positive().describe("Target for the complete answer, in milliseconds."),
    floorShare: z
        .number()
        .min(0)
        .max(0.1)
        .default(0.01)
        .describe("Minimum share of a pool's slots for this class while it has waiting requests."),
});

/** A backend server of a pool. */
export const backendServerSchema = z.strictObject({
    name: nameSchema.describe("Unique name within the configuration."),
    address: z
        .string()
        .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "use an IP address and a port, such as 127.0.0.1:9000")
        .describe("IP address and port."),
    dataCentre: nameSchema.describe("Data centre of the server."),
    slots: z.int().positive().default(8).describe("Requests that the server runs at the same time."),
    costPerHour: z.number().nonnegative().default(1).describe("Cost per hour, in the operator's currency."),
    reclaimable: z
        .boolean()
        .default(false)
        .describe("Whether the platform may take the server back at short notice."),
});

/** Limits on the servers that the nodes order for a pool. */
export const orderingSchema = z.strictObject({
    minimumServers: z.int().nonnegative().default(1).describe("Minimum number of desired servers."),
    maximumServers: z.int().positive().max(10_000).describe("Maximum number of desired servers."),
    reclaimableShare: z
        .number()
        .min(0)
        .max(1)
        .default(0.5)
        .describe("Maximum number of reclaimable servers, as a share of all servers."),
});

/** A pool of backend servers that serve the same models or the same plain service. */
export const poolSchema = z.strictObject({
    name: nameSchema.describe("Unique name."),
    kind: z.enum(["model", "plain"]).describe("`model` for model engines, `plain` for a plain HTTP service."),
    models: z.array(z.string().min(1)).default([]).describe("Models that the pool serves; for kind `model`."),
    credentialVariable: z
        .string()
        .regex(/^[A-Z][A-Z0-9_]*$/, "use the name of an environment variable")
        .optional()
        .describe("Environment variable of the nodes that holds the credential sent to the backend servers."),
    checksFencing: z
        .boolean()
        .default(false)
        .describe("Whether the servers refuse orders with an old fencing number."),
    answerTimeoutMs: z
        .int()
        .positive()
        .default(60_000)
        .describe("Inactivity timeout of a backend server while it responds to a request, in milliseconds."),
    retryShare: z
        .number()
        .min(0)
        .max(1)
        .default(0.1)
        .describe("Retries and hedges as a share of first attempts."),
    ordering: orderingSchema
        .optional()
        .describe(
            "Limits on the servers that the nodes order from the platform; absent means that they order none.",
        ),
    servers: z.array(backendServerSchema).default([]).describe("Backend servers of the pool."),
});

/** A route from a caller's path to a plain pool. Model paths are built in. */
export const routeSchema = z.strictObject({
    path: z
        .string()
        .regex(/^\/[^?#]*$/, "use a path such as /orders or a prefix such as /jobs/*")
        .describe("Path; a trailing `*` matches any suffix."),
    methods: z
        .array(z.enum(["GET", "POST", "PUT", "DELETE", "PATCH"]))
        .min(1)
        .describe("Accepted methods."),
    pool: nameSchema.describe("Pool that serves the route."),
    repeatable: z.boolean().describe("Whether a request may be sent to a backend server more than once."),
    open: z.boolean().default(false).describe("Whether the route needs no key."),
    class: nameSchema.optional().describe("Request class; absent means the header or the key's default."),
    customers: z.array(nameSchema).optional().describe("Customers that may use the route; absent means all."),
});

/** The complete configuration. */
export const configurationSchema = z.strictObject({
    customers: z.array(customerSchema).default([]),
    keys: z.array(keySchema).default([]),
    classes: z.array(classSchema).default([]),
    pools: z.array(poolSchema).default([]),
    routes: z.array(routeSchema).default([]),
});

export type Limits = z.infer<typeof limitsSchema>;
export type Customer = z.infer<typeof customerSchema>;
export type Key = z.infer<typeof keySchema>;
export type RequestClass = z.infer<typeof classSchema>;
export type BackendServer = z.infer<typeof backendServerSchema>;
export type Pool = z.infer<typeof poolSchema>;
export type Route = z.infer<typeof routeSchema>;
export type Configuration = z.infer<typeof configurationSchema>;
