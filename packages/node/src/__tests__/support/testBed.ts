/** Backends and nodes that end with their test. */
import { afterEach } from "vitest";
import { FakeBackend, type Behavior } from "./fakeBackend.js";
import { startTestNode, type TestNode, type TestNodeOptions } from "./testNode.js";

/** Starts what a test needs and stops it afterwards. */
export interface TestBed {
    startBackend(behavior?: Behavior): Promise<FakeBackend>;
    startNode(options: TestNodeOptions): Promise<TestNode>;
}

/** To be called once in a `describe`. */
export function createTestBed(): TestBed {
    const backends: FakeBackend[] = [];
    const nodes: TestNode[] = [];
    afterEach(async () => {
        await Promise.all(nodes.splice(0).map((node) => node.handle.abort()));
        await Promise.all(backends.splice(0).map((backend) => backend.stop()));
    });
    return {
        startBackend: async (behavior) => {
            const backend = await new FakeBackend().start();
            backend.behavior = behavior ?? backend.behavior;
            backends.push(backend);
            return backend;
        },
        startNode: async (options) => {
            const node = await startTestNode(options);
            nodes.push(node);
            return node;
        },
    };
}
