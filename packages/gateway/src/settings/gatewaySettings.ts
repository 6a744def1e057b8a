/**
 * The settings of a gateway node: one JSON file, filled in by the machine's platform.
 *
 * @packageDocumentation
 */
import { z } from "zod";

const maximumPort = 65_535;

const addressSchema = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/);
const millisecondsSchema = z.number().nonnegative();
const secondsSchema = z.number().positive();
const millisecondsPerSecond = 1_000;

/** All settings; unknown ones are ignored. */
export const gatewaySettingsSchema = z
    .object({
        /** Name of this node, unique among the nodes. */
        name: z.string().min(1),
        dataCentre: z.string().min(1),
        callerAddress: addressSchema,
        readinessAddress: addressSchema,
        /** IP address on which other nodes reach this one. */
        peerHost: z.string().min(1),
        /** First and last port that nodes may use among themselves. */
        peerPorts: z.tuple([
            z.number().int().min(1).max(maximumPort),
            z.number().int().min(1).max(maximumPort),
        ]),
        storeAddress: addressSchema,
        /** Address that takes orders for servers and usage reports; absent when there are no such duties. */
        dutiesAddress: addressSchema.nullish(),
        /** Whether the whole system starts for the first time. */
        isFirstStart: z.boolean(),
        memoryMegabytes: z.number().positive(),
        /** Time from the signal to stop to the end of the process. */
        stopGraceSeconds: secondsSchema,
        /** Time after which a holder of a duty may be replaced. */
        leaseMs: millisecondsSchema,
        usageWindowSeconds: secondsSchema,
        /** Time after the end of a usage window at which its report is due. */
        usageDueSeconds: secondsSchema,
        retryWindowSeconds: secondsSchema,
        /** Sends beyond the first, as a share of the requests, that all nodes together may make. */
        retryShare: z.number().nonnegative(),
        /** Sends beyond that share in a window that all nodes together may make. */
        retrySlack: z.number().nonnegative(),
    })
    .transform(
        ({ stopGraceSeconds, usageWindowSeconds, usageDueSeconds, retryWindowSeconds, ...others }) => ({
            ...others,
            dutiesAddress: others.dutiesAddress ?? undefined,
            stopGraceMs: stopGraceSeconds * millisecondsPerSecond,
            usageWindowMs: usageWindowSeconds * millisecondsPerSecond,
            usageDueMs: usageDueSeconds * millisecondsPerSecond,
            retryWindowMs: retryWindowSeconds * millisecondsPerSecond,
        }),
    );

/** Valid settings of a gateway node. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** Wrong settings; the message is one line that names the wrong value and the mend. */
export class GatewaySettingsError extends Error {
    /** @param message - One line. */
    constructor(message: string) {
        super(message);
        this.name = "GatewaySettingsError";
    }
}

/**
 * Parses the settings file.
 *
 * @param text - Its text.
 * @param path - Its path, for messages.
 * @returns The settings.
 * @throws GatewaySettingsError when a setting is missing or wrong.
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
