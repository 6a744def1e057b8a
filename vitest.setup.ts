import { afterEach } from "vitest";

// Yields to the event loop after each test. Without this, consecutive synchronous tests block the loop; after 60 s
// the timer of the test runner fails the run although every test passed.
afterEach(() => new Promise<void>((resolve) => setImmediate(resolve)));
