/**
 * The two deployments that experiments simulate: servers, classes, load and weights of the score.
 *
 * @packageDocumentation
 */
import type { PoolConfiguration } from "@pimentocleat/policy";
import { classSchema, customerSchema, poolSchema } from "@pimentocleat/schema";

/** Mean sizes of the requests of a class. */
export interface ClassLoad {
    readonly requestClass: string;
    readonly promptTokens: number;
    readonly tokens: number;
    /** Share of the pool's capacity that the class asks for at load 1. */
    readonly capacityShare: number;
}

/** A deployment for experiments. */
export interface Deployment {
    readonly name: string;
    readonly configuration: PoolConfiguration;
    readonly loads: readonly ClassLoad[];
    readonly nodes: number;
    /** Class whose attainment counts in the overall score. */
    readonly urgentClass: string;
    /** Weights of the overall score; they add up to 1. */
    readonly weights: { readonly urgent: number; readonly worstCustomer: number; readonly cheap: number };
}

const slotsPerWorker = 8;
const customerCount = 10;

function buildPool(name: string, city: string, workers: number): PoolConfiguration["pool"] {
    const servers = Array.from(Array(workers).keys(), (index) => {
        const dataCentre = `${city}-${1 + (index % 3)}`;
        const reclaimable = index % 3 === 2;
        return {
            name: `${name}-${index + 1}`,
            address: `127.0.0.1:${9000 + index}`,
            dataCentre,
            slots: slotsPerWorker,
            costPerHour: reclaimable ? 0.4 : 1,
            reclaimable,
        };
    });
    return poolSchema.parse({ name, kind: "model", models: ["standard"], servers });
}

function buildCustomers(): PoolConfiguration["customers"] {
    return Array.from(Array(customerCount).keys(), (index) =>
        customerSchema.parse({ name: `customer-${index + 1}` }),
    );
}

const volantinoClasses = [
    { name: "caption", tier: 1, weight: 2, firstTokenMs: 1_200, completeMs: 10_000, floorShare: 0.02 },
    { name: "proof", tier: 1, weight: 1, firstTokenMs: 2_000, completeMs: 25_000, floorShare: 0.02 },
    { name: "draft", tier: 2, weight: 1, firstTokenMs: 6_000, completeMs: 60_000, floorShare: 0.02 },
    { name: "leaflet", tier: 3, weight: 1, firstTokenMs: 30_000, completeMs: 120_000, floorShare: 0.02 },
];

const peachtreeClasses = [
    { name: "question", tier: 1, weight: 2, firstTokenMs: 1_000, completeMs: 10_000, floorShare: 0.02 },
    { name: "summary", tier: 1, weight: 1, firstTokenMs: 2_500, completeMs: 30_000, floorShare: 0.02 },
    { name: "seat-plan", tier: 2, weight: 1, firstTokenMs: 6_000, completeMs: 60_000, floorShare: 0.02 },
    { name: "archive", tier: 3, weight: 1, firstTokenMs: 30_000, completeMs: 120_000, floorShare: 0.02 },
];

/** Volantino: six workers for copywriting; its score gives the most weight to the share of cheap servers. */
export const volantino: Deployment = {
    name: "volantino",
    configuration: {
        pool: buildPool("copywriting", "sicily", 6),
        classes: volantinoClasses.map((settings) => classSchema.parse(settings)),
        customers: buildCustomers(),
    },
    loads: [
        { requestClass: "caption", promptTokens: 600, tokens: 60, capacityShare: 0.2 },
        { requestClass: "proof", promptTokens: 1_500, tokens: 150, capacityShare: 0.25 },
        { requestClass: "draft", promptTokens: 2_000, tokens: 300, capacityShare: 0.3 },
        { requestClass: "leaflet", promptTokens: 1_000, tokens: 350, capacityShare: 0.25 },
    ],
    nodes: 9,
    urgentClass: "caption",
    weights: { urgent: 0.3, worstCustomer: 0.2, cheap: 0.5 },
};

/**
 * Peachtree: eight workers for answers; its score gives the most weight to the worst-served customer,
 * then to the urgent class.
 */
export const peachtree: Deployment = {
    name: "peachtree",
    configuration: {
        pool: buildPool("answers", "atlanta", 8),
        classes: peachtreeClasses.map((settings) => classSchema.parse(settings)),
        customers: buildCustomers(),
    },
    loads: [
        { requestClass: "question", promptTokens: 300, tokens: 70, capacityShare: 0.25 },
        { requestClass: "summary", promptTokens: 2_500, tokens: 180, capacityShare: 0.25 },
        { requestClass: "seat-plan", promptTokens: 800, tokens: 300, capacityShare: 0.25 },
        { requestClass: "archive", promptTokens: 1_000, tokens: 300, capacityShare: 0.25 },
    ],
    nodes: 8,
    urgentClass: "question",
    weights: { urgent: 0.4, worstCustomer: 0.5, cheap: 0.1 },
};
