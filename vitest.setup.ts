import { afterEach } from "vitest";

// Tests that compute without a pause follow each other without a turn of the event loop; after 60 s of it the
// runner's own timer ends the run with an error although every test passed.
afterEach(() => new Promise<void>((resolve) => setImmediate(resolve)));
