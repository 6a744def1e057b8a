/**
 * The settings of `pimentocleatd`: one schema for flags, environment variables, the help text and the reference page.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import {
    buildAddressListSchema,
    buildAddressSchema,
    buildIntegerSchema,
    settingRegistry,
} from "./settingMetadata.js";

const kibibyte = 1_024;
const mebibyte = 1_024 * kibibyte;
/** Minimum length of a secret, in characters. */
const minimumSecretLength = 16;

const allowedAddress = "an IPv4 address and a port such as 127.0.0.1:8080; port 0 lets the system choose";
const namePattern = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const allowedName = "1 to 63 lower-case letters, digits, dots, dashes or underscores";
const allowedSecret = `at least ${String(minimumSecretLength)} characters`;
const millisecondUnit = "ms";

function defineAddress(description: string, defaultAddress: string) {
    return buildAddressSchema()
        .default(defaultAddress)
        .register(settingRegistry, { description, allowed: allowedAddress });
}

function defineInteger(
    description: string,
    unit: string,
    range: { minimum: number; maximum: number; defaultValue: number },
) {
    const allowed = `a whole number from ${String(range.minimum)} to ${String(range.maximum)}`;
    return z
        .prefault(buildIntegerSchema(range.minimum, range.maximum), String(range.defaultValue))
        .register(settingRegistry, { description, unit, allowed });
}

function buildSecretSchema() {
    return z.string().min(minimumSecretLength);
}

function buildSecretMetadata(description: string) {
    return { description, allowed: allowedSecret, secret: true };
}

/** All settings of the daemon, by name. */
export const settingsSchema = z.strictObject({
    name: z.string().regex(namePattern).register(settingRegistry, {
        description: "Name of this node, unique among the nodes.",
        allowed: allowedName,
    }),
    dataCentre: z.string().regex(namePattern).register(settingRegistry, {
        description: "Data centre of this node.",
        allowed: allowedName,
    }),
    callerAddress: defineAddress("Address of the caller interface.", "127.0.0.1:8080"),
    operatorAddress: defineAddress("Address of the operator interface.", "127.0.0.1:8081"),
    peerAddress: defineAddress("Address of the peer interface, which serves other nodes.", "127.0.0.1:8082"),
    peerSeeds: buildAddressListSchema().default([]).register(settingRegistry, {
        description: "Peer addresses to contact in addition to those of the platform's host list.",
        allowed: "addresses such as 127.0.0.1:8082, with commas between them",
    }),
    platformAddress: buildAddressSchema().register(settingRegistry, {
        description: "Address of the platform's services.",
        allowed: allowedAddress,
    }),
    peerSecret: buildSecretSchema().register(
        settingRegistry,
        buildSecretMetadata("Secret shared by all nodes; authenticates peers to each other."),
    ),
    operatorCredential: buildSecretSchema().register(
        settingRegistry,
        buildSecretMetadata("Credential that the operator interface requires."),
    ),
    statsdAddress: buildAddressSchema().optional().register(settingRegistry, {
        description: "Address of the StatsD server; without it no metrics are sent.",
        allowed: allowedAddress,
    }),
    metricsPrefix: z
        .string()
        .regex(/^[A-Za-z0-9_.]+$/)
        .default("pimentocleat")
        .register(settingRegistry, {
            description: "Prefix of each metric's name.",
            allowed: "letters, digits, dots and underscores",
        }),
    logFormat: z.enum(["json", "pretty"]).default("json").register(settingRegistry, {
        description: "Format of the logs on standard error.",
        allowed: "json or pretty",
    }),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info").register(settingRegistry, {
        description: "Minimum severity that is logged.",
        allowed: "debug, info, warn or error",
    }),
    drainDelayMs: defineInteger(
        "Time for which a stopping node still accepts requests while it reports that it is not ready.",
        millisecondUnit,
        { minimum: 0, maximum: 600_000, defaultValue: 5_000 },
    ),
    maximumBodyBytes: defineInteger("Maximum size of a request body.", "bytes", {
        minimum: kibibyte,
        maximum: 256 * mebibyte,
        defaultValue: 8 * mebibyte,
    }),
    maximumHeaderBytes: defineInteger("Maximum total size of the headers of a request.", "bytes", {
        minimum: kibibyte,
        maximum: mebibyte,
        defaultValue: 16 * kibibyte,
    }),
    headerTimeoutMs: defineInteger("Maximum time to receive the headers of a request.", millisecondUnit, {
        minimum: 100,
        maximum: 600_000,
        defaultValue: 10_000,
    }),
    requestTimeoutMs: defineInteger("Maximum time to receive a complete request.", millisecondUnit, {
        minimum: 100,
        maximum: 3_600_000,
        defaultValue: 30_000,
    }),
    keepAliveTimeoutMs: defineInteger(
        "Time after which an idle caller connection is closed.",
        millisecondUnit,
        {
            minimum: 1_000,
            maximum: 3_600_000,
            defaultValue: 75_000,
        },
    ),
    storePollMs: defineInteger(
        "Mean interval at which the table service is polled for a new configuration or key withdrawal.",
        millisecondUnit,
        { minimum: 50, maximum: 60_000, defaultValue: 1_000 },
    ),
    isolationLimitMs: defineInteger(
        "A node that has reached neither the table service nor any peer for this long stops accepting requests.",
        millisecondUnit,
        { minimum: 1_000, maximum: 600_000, defaultValue: 10_000 },
    ),
});

/** Valid settings of the daemon. */
export type Settings = z.infer<typeof settingsSchema>;

/** Name of a setting. */
export type SettingName = keyof Settings;
