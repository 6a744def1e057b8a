/**
 * The waiting requests of one class, shared fairly between customers by served tokens.
 *
 * @packageDocumentation
 */
import { Heap } from "heap-js";
import type { QueuedRequest } from "../scheduling/poolScheduler.js";

/** A waiting request; removed entries stay in the queue until they reach its head. */
export interface WaitingEntry {
    readonly request: QueuedRequest;
    /** Latest useful start, in monotonic milliseconds. */
    readonly latestStartMs: number;
    removed: boolean;
}

interface CustomerAccount {
    readonly name: string;
    /** Tokens served, divided by the customer's weight. */
    served: number;
    /** Makes older heap entries of the account stale. */
    version: number;
    waiting: number;
    entries: WaitingEntry[];
    head: number;
}

interface AccountKey {
    readonly account: CustomerAccount;
    readonly version: number;
    readonly served: number;
}

/** A customer that becomes active may be behind the least served one by this much. */
const activationCreditTokens = 0;
const minimumCompactionLength = 64;

/**
 * Serves the customer with the fewest served tokens first. A customer that becomes active starts at
 * the least served active customer, so that idle time earns no credit.
 */
export class FairQueue {
    private readonly accounts = new Map<string, CustomerAccount>();
    private readonly heap = new Heap<AccountKey>((left, right) => left.served - right.served);
    /** Retries, moves and resumed streams; they were ordered before and keep their place. */
    private readonly requeued: WaitingEntry[] = [];
    private lastMinimumServed = 0;
    private waiting = 0;

    /**
     * @param readWeight - Reads the weight of a customer.
     */
    constructor(private readonly readWeight: (customer: string) => number) {}

    /**
     * Adds a waiting request.
     *
     * @param entry - The request.
     * @param ahead - Whether it goes before every customer's queue.
     */
    add(entry: WaitingEntry, ahead: boolean): void {
        this.waiting += 1;
        if (ahead) {
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
     * Removes a waiting request; its place is cleaned up later.
     *
     * @param entry - An entry that was added and not yet taken.
     * @param ahead - As it was added.
     */
    remove(entry: WaitingEntry, ahead: boolean): void {
        entry.removed = true;
        this.waiting -= 1;
        if (ahead) {
            return;
        }
        const account = this.getAccount(entry.request.customer);
        account.waiting -= 1;
        this.clearEmptyAccount(account);
    }

    /**
     * Finds the entry to serve next.
     *
     * @returns The entry, or undefined when none waits.
     */
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
     * @returns The entry to shed first, or undefined when only entries that were ordered before wait.
     */
    findShedCandidate(): WaitingEntry | undefined {
        let most: CustomerAccount | undefined;
        for (const account of this.accounts.values()) {
            if (account.waiting > 0 && (most === undefined || account.served > most.served)) {
                most = account;
            }
        }
        return most?.entries.findLast((entry) => !entry.removed);
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
     * @param tokens - Mean tokens of an answer.
     * @returns Requests that are served earlier, when each is charged the mean.
     */
    countAhead(customer: string, tokens: number): number {
        const own = this.getAccount(customer);
        const least = this.findLeastServed()?.served ?? this.lastMinimumServed;
        const ownServed = own.waiting > 0 ? own.served : Math.max(own.served, least - activationCreditTokens);
        const ownTokens = Math.max(tokens, 1) / this.readWeight(customer);
        const turn = ownServed + own.waiting * ownTokens;
        let ahead = this.requeued.length + own.waiting;
        for (const account of this.accounts.values()) {
            if (account.waiting > 0 && account !== own) {
                const otherTokens = Math.max(tokens, 1) / this.readWeight(account.name);
                const turns = Math.ceil((turn - account.served) / otherTokens);
                ahead += Math.min(Math.max(turns, 0), account.waiting);
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
        const least = this.findLeastServed()?.served ?? this.lastMinimumServed;
        account.served = Math.max(account.served, least - activationCreditTokens);
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
