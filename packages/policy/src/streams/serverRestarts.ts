/**
 * Tells whether the software version in a server's registration is that of the process that answers. A server that
 * restarts under its identifier with another version answers before its new registration is read.
 *
 * @packageDocumentation
 */
import type { Clock } from "@pimentocleat/types";

/**
 * Time from the first contact with a restarted server after which its registration has been read, in milliseconds. The
 * read pause (500), the long poll (400) and the relayed update (300) add up to 1,200; the rest covers the server's own
 * write and a busy host.
 */
export const registrationLagMs = 3_000;
/** Maximum number of such servers that are remembered; beyond it the least recent refusal is forgotten. */
const maximumServers = 1_000;

/** Tracks servers that refused a connection, until their registrations can be trusted again. */
export class ServerRestarts {
    /** Time of the first contact after the refusal, in milliseconds; undefined before it. */
    private readonly contactsMs = new Map<string, number | undefined>();
    /** Time at which this node's registrations were last known to be old, in milliseconds. */
    private outdatedMs = Number.NEGATIVE_INFINITY;

    /** @param clock - The node's clock. */
    constructor(private readonly clock: Clock) {}

    /**
     * Records that a connection to a server could not be opened: the server may restart.
     *
     * @param serverId - The server.
     */
    recordRefusal(serverId: string): void {
        this.contactsMs.delete(serverId);
        this.contactsMs.set(serverId, undefined);
        const [oldest] = this.contactsMs.keys();
        if (this.contactsMs.size > maximumServers && oldest !== undefined) {
            this.contactsMs.delete(oldest);
        }
    }

    /**
     * Records that a server has answered.
     *
     * @param serverId - The server.
     */
    recordContact(serverId: string): void {
        if (this.contactsMs.has(serverId) && this.contactsMs.get(serverId) === undefined) {
            this.contactsMs.set(serverId, this.clock.monotonicMs());
        }
    }

    /**
     * Records that the registration of another start of a server was read.
     *
     * @param serverId - The server.
     */
    recordRegistration(serverId: string): void {
        this.contactsMs.delete(serverId);
    }

    /** Records that the registrations that this node knows are old. */
    recordOutdated(): void {
        this.outdatedMs = this.clock.monotonicMs();
    }

    /**
     * Checks whether the registration of a server tells which software version answers.
     *
     * @param serverId - The server.
     * @returns False from a refusal until the registration must have been read after the server's next answer.
     */
    isVersionKnown(serverId: string): boolean {
        if (!this.contactsMs.has(serverId)) {
            return true;
        }
        const contactMs = this.contactsMs.get(serverId);
        if (contactMs === undefined) {
            return false;
        }
        const isKnown = this.clock.monotonicMs() - Math.max(contactMs, this.outdatedMs) >= registrationLagMs;
        if (isKnown) {
            this.contactsMs.delete(serverId);
        }
        return isKnown;
    }
}
