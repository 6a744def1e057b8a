/**
 * The settings of a gateway node: one JSON file that the host's platform provides.
 *
 * @packageDocumentation
 */
import { z } from "zod";
import { hostAddressSchema, portSchema } from "../backends/hostAddress.js";

const millisecondsSchema = z.number().nonnegative();
const secondsSchema = z.number().positive();
const millisecondsPerSecond = 1_000;

/** Descriptors that a process may have open where the settings do not say it. */
const defaultDescriptors = 4_096;

/** Schema of the settings file; unknown settings are ignored. */
export const gatewaySettingsSchema = z
    .object({
        /** Name of this node, unique in the deployment. */
        name: z.string().min(1),
        dataCentre: z.string().min(1),
        callerAddress: hostAddressSchema,
        readinessAddress: hostAddressSchema,
        /** IP address at which other nodes reach this one. */
        peerHost: z.string().min(1),
        /** First and last port of the range that nodes may use to communicate with each other. */
        peerPorts: z.tuple([portSchema, portSchema]),
        storeAddress: hostAddressSchema,
        /** Address of the service for server orders and usage reports; absent when a deployment has neither. */
        dutiesAddress: hostAddressSchema.nullish(),
        /** Whether the deployment starts for the first time. */
        isFirstStart: z.boolean(),
        memoryMegabytes: z.number().positive(),
        /** Number of descriptors that the process may have open. */
        maximumDescriptors: z.number().positive().default(defaultDescriptors),
        /** Part of the host's processor that this process may use, in cores. */
        processorShare: z.number().positive(),
        /** Time between the stop signal and the end of the process, in seconds. */
        stopGraceSeconds: secondsSchema,
        /** Time after which the holder of a duty may be replaced, in milliseconds; the duration of a lease derives from it. */
        leaseMs: millisecondsSchema,
        /** Time within which a change of the configuration must apply on every node, in milliseconds. */
        configurationApplyMs: millisecondsSchema,
        /** Time within which every node must stop sending requests to a leaving server, in milliseconds. */
        leavingNoticeMs: millisecondsSchema,
        usageWindowSeconds: secondsSchema,
        /** Time after the end of a usage window by which its report is due, in seconds. */
        usageDueSeconds: secondsSchema,
        retryWindowSeconds: secondsSchema,
        /** Maximum number of retries of all nodes combined, as a fraction of the requests. */
        retryShare: z.number().nonnegative(),
        /** Number of retries per window, beyond that fraction, that all nodes combined may make. */
        retrySlack: z.number().nonnegative(),
        /** Factor by which a cold server's rate may be exceeded in any one second; absent means 1. */
        coldOverage: z.number().min(1).nullish(),
        /** Number of requests that a cold server may get in any one second beyond that; absent means 0. */
        coldSlack: z.number().nonnegative().nullish(),
        /**
         * Time within which every node must stop sending requests to the servers of an evacuated data centre, in
         * milliseconds; absent in a deployment without evacuations.
         */
        evacuationMs: millisecondsSchema.nullish(),
        /** Whether requests may wait or be refused at this node under overload; `auto` decides by service. */
        overloadControl: z.enum(["auto", "off"]).default("auto"),
    })
    .transform(
        ({ stopGraceSeconds, usageWindowSeconds, usageDueSeconds, retryWindowSeconds, ...others }) => ({
            ...others,
            dutiesAddress: others.dutiesAddress ?? undefined,
            coldOverage: others.coldOverage ?? 1,
            coldSlack: others.coldSlack ?? 0,
            evacuationMs: others.evacuationMs ?? undefined,
            stopGraceMs: stopGraceSeconds * millisecondsPerSecond,
            usageWindowMs: usageWindowSeconds * millisecondsPerSecond,
            usageDueMs: usageDueSeconds * millisecondsPerSecond,
            retryWindowMs: retryWindowSeconds * millisecondsPerSecond,
        }),
    );

/** Validated settings of a gateway node. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Invalid settings; the one-line message names the invalid setting and how to correct it. */
export class GatewaySettingsError extends Error {
    /** @param message - Description in one line. */
    constructor(message: string) {
        super(message);
        this.name = "GatewaySettingsError";
    }
}

/**
 * Parses the settings file.
 *
 * @param text - Content of the file.
 * @param path - Path of the file, for error messages.
 * @returns The validated settings.
 * @throws GatewaySettingsError when a setting is missing or invalid.
 */
export function parseGatewaySettings(text: string, path: string): GatewaySettings {
    let value: unknown;
    try {
        value = JSON.parse(text);
    } catch (error) {
        throw new GatewaySettingsError(`${path}: not valid JSON (${String(error)}); write one JSON object`);
    }
    const result = gatewaySettingsSchema.safeParse(value);
    if (result.success) {
        return result.data;
    }
    const problems = result.error.issues.map((issue) => `${issue.path.join(".")}: ${issue.message}`);
    throw new GatewaySettingsError(`${path}: ${problems.join("; ")}; correct these settings`);
}
