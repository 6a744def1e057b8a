/**
 * Addresses in lists that other programs write. A connection or datagram to an address that is none fails in the program
 * that sends, and not like one that is lost.
 *
 * @packageDocumentation
 */
import { isIPv4 } from "node:net";
import { z } from "zod";

const maximumPort = 65_535;

/** Schema of an IPv4 address. */
export const hostSchema = z.string().refine(isIPv4, "must be an IPv4 address");

/** Schema of a TCP or UDP port. */
export const portSchema = z.number().int().min(1).max(maximumPort);

/** Schema of an IPv4 address and port. */
export const hostAddressSchema = z.string().refine((text) => {
    const [host = "", port = "", ...others] = text.split(":");
    return (
        others.length === 0 &&
        isIPv4(host) &&
        /^\d{1,5}$/.test(port) &&
        portSchema.safeParse(Number(port)).success
    );
}, "must be an IPv4 address and port");
