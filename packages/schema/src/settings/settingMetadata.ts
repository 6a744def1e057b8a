/**
 * Metadata of the settings (unit, allowed values, whether a setting is secret) and schemas of their values.
 *
 * @packageDocumentation
 */
import { z } from "zod";

/** Documentation of one setting. */
export interface SettingMetadata {
    /** One English sentence. */
    readonly description: string;
    /** Describes a valid value; completes the sentence "use ...". */
    readonly allowed: string;
    /** Unit of the value, if it has one. */
    readonly unit?: string;
    /** Whether the value must never be printed; a secret can also be read from a file. */
    readonly secret?: boolean;
}

/** The metadata of every setting's schema. */
export const settingRegistry = z.registry<SettingMetadata>();

const maximumPort = 65_535;
const addressPattern = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;

/**
 * Checks whether a text is an IPv4 address and a port.
 *
 * @param text - The text.
 * @returns True when it is; port 0 is valid and lets the operating system choose a port.
 */
export function isAddress(text: string): boolean {
    const parts = addressPattern.exec(text)?.slice(1).map(Number);
    if (parts === undefined) {
        return false;
    }
    const port = parts.pop() ?? maximumPort + 1;
    return port <= maximumPort && parts.every((part) => part <= 255);
}

/**
 * Builds the schema of an address.
 *
 * @returns The schema; its input is a text such as `127.0.0.1:8080`.
 */
export function buildAddressSchema(): z.ZodString {
    return z.string().refine(isAddress);
}

/**
 * Builds the schema of a list of addresses.
 *
 * @returns The schema; its input is a text with comma-separated addresses.
 */
export function buildAddressListSchema() {
    const split = (value: unknown): unknown =>
        typeof value === "string" ? value.split(",").filter((part) => part !== "") : value;
    return z.preprocess(split, z.array(buildAddressSchema()));
}

/**
 * Builds the schema of an integer that is given as text.
 *
 * @param minimum - Minimum value.
 * @param maximum - Maximum value.
 * @returns The schema.
 */
export function buildIntegerSchema(minimum: number, maximum: number): z.ZodPipe<z.ZodTransform, z.ZodNumber> {
    const convert = (value: unknown): unknown =>
        typeof value === "string" && /^\d+$/.test(value) ? Number(value) : value;
    return z.pipe(z.transform(convert), z.int().min(minimum).max(maximum)) as z.ZodPipe<
        z.ZodTransform,
        z.ZodNumber
    >;
}
