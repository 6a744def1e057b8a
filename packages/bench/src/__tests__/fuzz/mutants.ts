/**
 * Deliberately broken versions of the system, one for each property that must hold, and the violations that the
 * oracle reports for them.
 *
 * @packageDocumentation
 */
import { QueueOrder } from "@pimentocleat/policy";
import {
    ConfigurationFollower,
    TableClaimStore,
    WithdrawalFollower,
    type KeyLookup,
    type LeaseHandle,
} from "@pimentocleat/state";
import type { ClassQueue } from "../../../../policy/src/scheduling/classQueue.js";
import { defaultParts } from "../../../../state/src/configuration/__tests__/cluster.js";
import { holdersFrozen, laggingPeer, overload } from "./namedHistories.js";
import { unmodifiedSystem, type SystemMutant } from "./systemMutant.js";
import type { SystemStep } from "./systemSteps.js";

/** Accepts older revisions, since it always reports revision 0 as its current one. */
class RevertingFollower extends ConfigurationFollower {
    override readRevision(): number {
        return 0;
    }
}

/** Applies only the first revision. */
class FirstRevisionFollower extends ConfigurationFollower {
    override followHead(...call: Parameters<ConfigurationFollower["followHead"]>): Promise<void> {
        return this.readRevision() > 0 ? Promise.resolve() : super.followHead(...call);
    }
}

/** Neither reads withdrawals from the store nor accepts them from peers. */
class WithoutRemoteWithdrawals extends WithdrawalFollower {
    override followHead(): Promise<void> {
        return super.followHead(0);
    }
    override receiveWithdrawals(): void {}
}

class LowestTierFirst extends QueueOrder {
    protected override findClassByTier(): ClassQueue | undefined {
        const active = this.classes.filter(({ queue }) => queue.countWaiting() > 0);
        return active.toSorted((left, right) => right.settings.tier - left.settings.tier)[0];
    }
}

class WithoutFloors extends QueueOrder {
    override findOwedClass(): ClassQueue | undefined {
        return undefined;
    }
}

/** Wraps a lease so that neither its validity nor its fencing condition is checked. */
function removeLeaseChecks(lease: LeaseHandle): LeaseHandle {
    return {
        name: lease.name,
        fencingNumber: lease.fencingNumber,
        era: lease.era,
        isValid: () => true,
        isReadyFor: () => true,
        isEraOver: () => false,
        buildCondition: () => ({ table: "absent", key: "absent", version: 0 }),
    };
}

/** Broken version of the system. */
export interface NamedMutant {
    readonly name: string;
    readonly replaced: Partial<SystemMutant>;
    /** Violation that the oracle reports. */
    readonly expectedViolation: RegExp;
    /** History that leads to the violation; absent when random histories find it. */
    readonly history?: readonly SystemStep[];
}

/** All broken versions. */
export const mutants: readonly NamedMutant[] = [
    {
        name: "starts the lowest tier first",
        replaced: {
            schedulerOptions: (clock) => ({ createOrder: (floors) => new LowestTierFirst(floors, clock) }),
        },
        expectedViolation: /started before a higher tier/,
    },
    {
        name: "knows no floors",
        replaced: {
            schedulerOptions: (clock) => ({ createOrder: (floors) => new WithoutFloors(floors, clock) }),
        },
        expectedViolation: /starves/,
        history: overload,
    },
    {
        name: "takes any key for that of one customer",
        replaced: {
            wrapKeys: (keys) => ({
                findKey: (secret): KeyLookup => {
                    const lookup = keys.findKey(secret);
                    const customer = "customer-k0";
                    return lookup.type === "valid" ? { ...lookup, key: { ...lookup.key, customer } } : lookup;
                },
                isWithdrawn: (keyId) => keys.isWithdrawn(keyId),
                onWithdrawal: (listener) => keys.onWithdrawal(listener),
            }),
        },
        expectedViolation: /runs for another customer/,
    },
    {
        name: "hears of no withdrawals",
        replaced: {
            parts: {
                ...defaultParts,
                createWithdrawalFollower: (options) => new WithoutRemoteWithdrawals(options),
            },
        },
        expectedViolation: /withdrawn key .* works/,
    },
    {
        name: "takes requests while it is cut off",
        replaced: { parts: { ...defaultParts, isolationLimitMs: Number.POSITIVE_INFINITY } },
        expectedViolation: /although it (is|was) cut off/,
    },
    {
        name: "orders and reports without its lease",
        replaced: { wrapLease: removeLeaseChecks },
        expectedViolation: /holders/,
        history: holdersFrozen,
    },
    {
        name: "shares one claim token",
        replaced: {
            createClaims: (options) => new TableClaimStore({ ...options, createToken: () => "token" }),
        },
        expectedViolation: /ran twice/,
    },
    {
        name: "says not run of what ran",
        replaced: { runsRejected: true },
        expectedViolation: /although its caller heard "not run"|ran twice/,
    },
    {
        name: "never hears of leaving servers",
        replaced: { hidesLeavingServers: true },
        expectedViolation: /a leaving server got work/,
    },
    {
        name: "reverts to an older configuration",
        replaced: {
            parts: {
                ...defaultParts,
                createConfigurationFollower: (options) => new RevertingFollower(options),
            },
        },
        expectedViolation: /reverted from/,
        history: laggingPeer,
    },
    {
        name: "follows only the first configuration",
        replaced: {
            parts: {
                ...defaultParts,
                createConfigurationFollower: (options) => new FirstRevisionFollower(options),
            },
        },
        expectedViolation: /is not in force/,
    },
];

/** Builds a version of the system with some parts replaced. */
export function buildMutant(replaced: Partial<SystemMutant>): SystemMutant {
    return { ...unmodifiedSystem, ...replaced };
}
