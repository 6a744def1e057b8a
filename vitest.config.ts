import { defineConfig } from "vitest/config";

export default defineConfig({
    resolve: { conditions: ["source"] },
    ssr: { resolve: { conditions: ["source"] } },
    test: {
        include: ["packages/*/src/**/*.test.ts"],
        pool: "forks",
        testTimeout: 60_000,
        hookTimeout: 60_000,
        expect: { poll: { timeout: 20_000 } },
    },
});
