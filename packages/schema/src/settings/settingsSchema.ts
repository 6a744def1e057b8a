/**
 * The settings of `pimentocleatd`: one schema for flags, environment variables, help and reference page.
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
    range: { least: number; most: number; value: number },
) {
    const allowed = `a whole number from ${String(range.least)} to ${String(range.most)}`;
    return z
        .prefault(buildIntegerSchema(range.least, range.most), String(range.value))
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
    callerAddress: defineAddress("Address on which callers are served.", "127.0.0.1:8080"),
    operatorAddress: defineAddress("Address of the operator interface.", "127.0.0.1:8081"),
    peerAddress: defineAddress("Address on which other nodes are served.", "127.0.0.1:8082"),
    peerSeeds: buildAddressListSchema().default([]).register(settingRegistry, {
        description: "Peer addresses to try besides those of the platform's host list.",
        allowed: "addresses such as 127.0.0.1:8082, with commas between them",
    }),
    platformAddress: buildAddressSchema().register(settingRegistry, {
        description: "Address of the platform's services.",
        allowed: allowedAddress,
    }),
    peerSecret: buildSecretSchema().register(
        settingRegistry,
        buildSecretMetadata("Secret shared by all nodes; peers prove that they know it."),
    ),
    operatorCredential: buildSecretSchema().register(
        settingRegistry,
        buildSecretMetadata("Credential that the operator interface asks for."),
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
            description: "First part of each metric's name.",
            allowed: "letters, digits, dots and underscores",
        }),
    logFormat: z.enum(["json", "pretty"]).default("json").register(settingRegistry, {
        description: "Format of the logs on standard error.",
        allowed: "json or pretty",
    }),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info").register(settingRegistry, {
        description: "Least severity that is logged.",
        allowed: "debug, info, warn or error",
    }),
    drainDelayMs: defineInteger(
        "How long a stopping node still accepts requests while it reports that it is not ready.",
        millisecondUnit,
        { least: 0, most: 600_000, value: 5_000 },
    ),
    maximumBodyBytes: defineInteger("Largest body of a request.", "bytes", {
        least: kibibyte,
        most: 256 * mebibyte,
        value: 8 * mebibyte,
    }),
    maximumHeaderBytes: defineInteger("Largest headers of a request, all together.", "bytes", {
        least: kibibyte,
        most: mebibyte,
        value: 16 * kibibyte,
    }),
    headerTimeoutMs: defineInteger("Longest time in which a caller may send the headers.", millisecondUnit, {
        least: 100,
        most: 600_000,
        value: 10_000,
    }),
    requestTimeoutMs: defineInteger(
        "Longest time in which a caller may send the whole request.",
        millisecondUnit,
        {
            least: 100,
            most: 3_600_000,
            value: 30_000,
        },
    ),
    keepAliveTimeoutMs: defineInteger(
        "How long an idle connection of a caller stays open.",
        millisecondUnit,
        {
            least: 1_000,
            most: 3_600_000,
            value: 75_000,
        },
    ),
    storePollMs: defineInteger(
        "Mean time between two looks for a new configuration or withdrawal in the table service.",
        millisecondUnit,
        { least: 50, most: 60_000, value: 1_000 },
    ),
    isolationLimitMs: defineInteger(
        "A node that reached neither the table service nor any peer for this long stops taking requests.",
        millisecondUnit,
        { least: 1_000, most: 600_000, value: 10_000 },
    ),
});

/** Valid settings of the daemon. */
export type Settings = z.infer<typeof settingsSchema>;

/** Name of a setting. */
export type SettingName = keyof Settings;
