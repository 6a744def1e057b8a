/**
 * What is known about each setting besides its type: unit, allowed values and whether it is secret.
 *
 * @packageDocumentation
 */
import { z } from "zod";

/** Documentation of one setting. */
export interface SettingMetadata {
    /** One English sentence. */
    readonly description: string;
    /** What a valid value looks like, to complete the sentence "use ...". */
    readonly allowed: string;
    /** Unit of the value, if it has one. */
    readonly unit?: string;
    /** Whether the value must never be printed; a secret may also be read from a file. */
    readonly secret?: boolean;
}

/** The metadata of every setting's schema. */
export const settingRegistry = z.registry<SettingMetadata>();

const maximumPort = 65_535;
const addressPattern = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;

/**
 * Checks that a text is an IPv4 address and a port.
 *
 * @param text - The text.
 * @returns Whether it is valid; port 0 is valid and lets the system choose.
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
 * @returns The schema; its input is a text with commas between the addresses.
 */
export function buildAddressListSchema() {
    const split = (value: unknown): unknown =>
        typeof value === "string" ? value.split(",").filter((part) => part !== "") : value;
    return z.preprocess(split, z.array(buildAddressSchema()));
}

/**
 * Builds the schema of a whole number that is written as a text.
 *
 * @param least - Smallest value.
 * @param most - Largest value.
 * @returns The schema.
 */
export function buildIntegerSchema(least: number, most: number): z.ZodPipe<z.ZodTransform, z.ZodNumber> {
    const convert = (value: unknown): unknown =>
        typeof value === "string" && /^\d+$/.test(value) ? Number(value) : value;
    return z.pipe(z.transform(convert), z.int().min(least).max(most)) as z.ZodPipe<
        z.ZodTransform,
        z.ZodNumber
    >;
}
