import { defineConfig } from "vitest/config";

/** Reads the seed and number of runs that `npm run fuzz` sets; empty otherwise, so that tests use their own values. */
function readFuzzOverrides(): { seed?: number; numRuns?: number } {
    const { PIMENTOCLEAT_FUZZ_SEED: seed, PIMENTOCLEAT_FUZZ_RUNS: runs } = process.env;
    return {
        ...(seed === undefined ? {} : { seed: Number(seed) }),
        ...(runs === undefined ? {} : { numRuns: Number(runs) }),
    };
}

export default defineConfig({
    resolve: { conditions: ["source"] },
    ssr: { resolve: { conditions: ["source"] } },
    test: {
        include: ["packages/*/src/**/*.test.ts", "platform/src/**/*.test.ts"],
        pool: "forks",
        setupFiles: ["vitest.setup.ts"],
        testTimeout: 60_000,
        hookTimeout: 60_000,
        expect: { poll: { timeout: 20_000 } },
        provide: { fuzz: readFuzzOverrides() },
    },
});
