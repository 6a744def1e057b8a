/**
 * Divides the descriptors of a process among its callers and what it needs to serve them.
 *
 * @packageDocumentation
 */

/** Descriptors for files, listeners, other nodes, the store and duties, whatever callers do. */
const reservedDescriptors = 300;
/** Part of the other descriptors for callers. Each may need one for its backend server, and some need several. */
const callerShare = 0.4;
/** Number of running requests, in relation to that of connections, up to which a connection may have several. */
const severalShare = 0.25;
/** Minimum number of callers' connections, also where a process may open very few descriptors. */
const minimumConnections = 16;

/** Limits of a node that follow from the descriptors of its process. */
export interface ConnectionLimits {
    /** Maximum number of open connections of callers; a request may run on each. */
    readonly maximumConnections: number;
    /** Number of running requests from which on only one may run on a connection. */
    readonly maximumShared: number;
}

/**
 * Computes the limits of a node.
 *
 * @param maximumDescriptors - Number of descriptors that its process may have open.
 * @returns The limits.
 */
export function computeConnectionLimits(maximumDescriptors: number): ConnectionLimits {
    const callers = Math.floor((maximumDescriptors - reservedDescriptors) * callerShare);
    const maximumConnections = Math.max(minimumConnections, callers);
    return { maximumConnections, maximumShared: Math.floor(maximumConnections * severalShare) };
}
