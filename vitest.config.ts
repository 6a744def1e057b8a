import { configDefaults, defineConfig } from "vitest/config";

/** Reads the seed and number of runs that `npm run fuzz` sets; empty otherwise, so that tests use their own values. */
function readFuzzOverrides(): { seed?: number; numRuns?: number } {
    const { PIMENTOCLEAT_FUZZ_SEED: seed, PIMENTOCLEAT_FUZZ_RUNS: runs } = process.env;
    return {
        ...(seed === undefined ? {} : { seed: Number(seed) }),
        ...(runs === undefined ? {} : { numRuns: Number(runs) }),
    };
}

/** Tests that measure a process; they run one at a time after all others, by a configuration of their own. */
export const isolatedTests = "**/*.isolated.test.ts";

export default defineConfig({
    resolve: { conditions: ["source"] },
    ssr: { resolve: { conditions: ["source"] } },
    test: {
        include: ["packages/*/src/**/*.test.ts", "platform/src/**/*.test.ts"],
        exclude: [...configDefaults.exclude, isolatedTests],
        pool: "forks",
        setupFiles: ["vitest.setup.ts"],
        testTimeout: 60_000,
        hookTimeout: 60_000,
        expect: { poll: { timeout: 20_000 } },
        provide: { fuzz: readFuzzOverrides() },
    },
});
