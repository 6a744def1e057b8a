/**
 * Starts the request path of one node.
 *
 * @packageDocumentation
 */
import { defaultNodeLimits } from "../limits/nodeLimits.js";
import { Node } from "./node.js";
import type { NodeHandle, NodeOptions } from "./nodeOptions.js";

/**
 * Starts a node.
 *
 * @param options - Addresses, sources and recorders.
 * @returns The running node, once it listens.
 */
export async function startNode(options: NodeOptions): Promise<NodeHandle> {
    const node = new Node(options, { ...defaultNodeLimits, ...options.limits });
    await node.start();
    return node;
}
