export {};

declare module "vitest" {
    interface ProvidedContext {
        /** Seed and number of runs that `npm run fuzz` sets for the stateful tests; empty in other test runs. */
        readonly fuzz: { readonly seed?: number; readonly numRuns?: number };
    }
}
