/** Fake backends and nodes that are stopped after each test. */
import { afterEach } from "vitest";
import { FakeBackend, type Behavior } from "./fakeBackend.js";
import { startTestNode, type TestNode, type TestNodeOptions } from "./testNode.js";

/** Starts backends and nodes, which are stopped after the test. */
export interface TestBed {
    startBackend(behavior?: Behavior): Promise<FakeBackend>;
    startNode(options: TestNodeOptions): Promise<TestNode>;
}

/** Creates a test bed and registers its cleanup; call it once per `describe`. */
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
