/**
 * Queues the waiting requests of one class and orders customers fairly by served tokens.
 *
 * @packageDocumentation
 */
import { Heap } from "heap-js";
import type { QueuedRequest } from "../scheduling/poolScheduler.js";

/** A waiting request. A removed entry stays in the queue, marked, until it reaches the head. */
export interface WaitingEntry {
    readonly request: QueuedRequest;
    /** Start deadline, which is the latest useful start, in monotonic milliseconds. */
    readonly latestStartMs: number;
    removed: boolean;
}

interface CustomerAccount {
    readonly name: string;
    /** Tokens served, divided by the customer's weight. */
    served: number;
    /** Increased to invalidate the account's older heap entries. */
    version: number;
    waiting: number;
    entries: WaitingEntry[];
    /** Index of the first entry that may still wait. */
    head: number;
}

interface AccountKey {
    readonly account: CustomerAccount;
    readonly version: number;
    readonly served: number;
}

/** Tokens by which a customer that becomes active may be below the least served active customer. */
const activationCreditTokens = 0;
/** An account's list is compacted only when more than this many of its leading entries are removed. */
const minimumCompactionLength = 64;

/**
 * Serves the customer with the fewest served tokens first. A customer that becomes active starts no lower
 * than the least served active customer, so that idle time earns no credit.
 */
export class FairQueue {
    private readonly accounts = new Map<string, CustomerAccount>();
    private readonly heap = new Heap<AccountKey>((left, right) => left.served - right.served);
    /**
     * Retried, resumed, moved and skipped requests. Their turn in the fair order has come once already, so they go
     * before all others.
     */
    private readonly requeued: WaitingEntry[] = [];
    private lastMinimumServed = 0;
    private waiting = 0;

    /** @param readWeight - Returns the weight of a customer. */
    constructor(private readonly readWeight: (customer: string) => number) {}

    /**
     * Adds a waiting request.
     *
     * @param entry - The request.
     * @param isRequeued - Whether the request goes before every customer's queue.
     */
    add(entry: WaitingEntry, isRequeued: boolean): void {
        this.waiting += 1;
        if (isRequeued) {
            this.requeued.push(entry);
            return;
        }
        const account = this.getAccount(entry.request.customer);
        if (account.waiting === 0) {
            this.setActiveAccount(account);
        }
        account.waiting += 1;
        account.entries.push(entry);
    }

    /**
     * Removes a waiting request; its entry is dropped from the queue later.
     *
     * @param entry - An entry that was added and not yet taken.
     * @param isRequeued - The value with which the entry was added.
     */
    remove(entry: WaitingEntry, isRequeued: boolean): void {
        entry.removed = true;
        this.waiting -= 1;
        if (isRequeued) {
            return;
        }
        const account = this.getAccount(entry.request.customer);
        account.waiting -= 1;
        this.clearEmptyAccount(account);
    }

    /** Finds the entry to serve next, or undefined when none waits. */
    next(): WaitingEntry | undefined {
        while (this.requeued[0]?.removed === true) {
            this.requeued.shift();
        }
        if (this.requeued[0] !== undefined) {
            return this.requeued[0];
        }
        const account = this.findLeastServed();
        return account === undefined ? undefined : this.findHead(account);
    }

    /**
     * Finds the newest waiting entry of the customer that was served most.
     *
     * @returns The entry to shed first, or undefined when only requeued entries wait.
     */
    findShedCandidate(): WaitingEntry | undefined {
        let mostServed: CustomerAccount | undefined;
        for (const account of this.accounts.values()) {
            if (account.waiting > 0 && (mostServed === undefined || account.served > mostServed.served)) {
                mostServed = account;
            }
        }
        return mostServed?.entries.findLast((entry) => !entry.removed);
    }

    /**
     * Charges tokens to a customer.
     *
     * @param customer - The customer.
     * @param tokens - Tokens; negative to correct an estimate.
     */
    recordServed(customer: string, tokens: number): void {
        const account = this.getAccount(customer);
        account.served += tokens / this.readWeight(customer);
        if (tokens < 0 && account.waiting > 0) {
            this.putAccount(account);
        }
    }

    /** @returns Tokens served to the least served waiting customer, divided by its weight. */
    readLeastServed(): number {
        return this.findLeastServed()?.served ?? this.lastMinimumServed;
    }

    /** @returns Waiting requests of the class. */
    countWaiting(): number {
        return this.waiting;
    }

    /**
     * Counts the waiting requests that would go before a new one of a customer.
     *
     * @param customer - The customer.
     * @param tokens - Mean tokens per answer.
     * @returns Requests that start earlier, assuming that each is charged the mean.
     */
    countAhead(customer: string, tokens: number): number {
        const own = this.getAccount(customer);
        const minimumServed = this.findLeastServed()?.served ?? this.lastMinimumServed;
        const ownServed =
            own.waiting > 0 ? own.served : Math.max(own.served, minimumServed - activationCreditTokens);
        const ownTokens = Math.max(tokens, 1) / this.readWeight(customer);
        const servedAtStart = ownServed + own.waiting * ownTokens;
        let ahead = this.requeued.length + own.waiting;
        for (const account of this.accounts.values()) {
            if (account.waiting > 0 && account !== own) {
                const otherTokens = Math.max(tokens, 1) / this.readWeight(account.name);
                const earlierStarts = Math.ceil((servedAtStart - account.served) / otherTokens);
                ahead += Math.min(Math.max(earlierStarts, 0), account.waiting);
            }
        }
        return ahead;
    }

    private getAccount(name: string): CustomerAccount {
        let account = this.accounts.get(name);
        if (account === undefined) {
            account = { name, served: this.lastMinimumServed, version: 0, waiting: 0, entries: [], head: 0 };
            this.accounts.set(name, account);
        }
        return account;
    }

    private setActiveAccount(account: CustomerAccount): void {
        const minimumServed = this.findLeastServed()?.served ?? this.lastMinimumServed;
        account.served = Math.max(account.served, minimumServed - activationCreditTokens);
        this.putAccount(account);
    }

    private clearEmptyAccount(account: CustomerAccount): void {
        if (account.waiting > 0) {
            return;
        }
        account.version += 1;
        account.entries = [];
        account.head = 0;
    }

    private putAccount(account: CustomerAccount): void {
        account.version += 1;
        this.heap.push({ account, version: account.version, served: account.served });
    }

    private findLeastServed(): CustomerAccount | undefined {
        for (let key = this.heap.peek(); key !== undefined; key = this.heap.peek()) {
            const { account } = key;
            if (key.version === account.version && key.served >= account.served) {
                this.lastMinimumServed = Math.max(this.lastMinimumServed, account.served);
                return account;
            }
            this.heap.pop();
            if (key.version === account.version) {
                this.putAccount(account);
            }
        }
        return undefined;
    }

    private findHead(account: CustomerAccount): WaitingEntry | undefined {
        while (account.entries[account.head]?.removed === true) {
            account.head += 1;
        }
        if (account.head > minimumCompactionLength && account.head * 2 > account.entries.length) {
            account.entries = account.entries.slice(account.head);
            account.head = 0;
        }
        return account.entries[account.head];
    }
}
