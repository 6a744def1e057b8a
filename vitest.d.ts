export {};

declare module "vitest" {
    interface ProvidedContext {
        /** Overrides the seed and the number of runs of the stateful tests; empty unless `npm run fuzz` runs. */
        readonly fuzz: { readonly seed?: number; readonly numRuns?: number };
    }
}
