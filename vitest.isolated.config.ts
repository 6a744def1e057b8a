import { configDefaults, defineConfig } from "vitest/config";
import shared, { isolatedTests } from "./vitest.config.js";

/** Maximum time of a test, in milliseconds; a crowd takes several seconds to send what it can. */
const testTimeoutMs = 120_000;

export default defineConfig({
    ...shared,
    test: {
        ...shared.test,
        include: [isolatedTests],
        exclude: configDefaults.exclude,
        fileParallelism: false,
        testTimeout: testTimeoutMs,
    },
});
