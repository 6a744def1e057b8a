import { defineConfig } from "vitest/config";

/** Reads what `npm run fuzz` hands on; empty in an ordinary run, so that the tests keep their own values. */
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
