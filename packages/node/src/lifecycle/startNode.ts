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
 * @param options - Addresses, dependencies and limits of the node.
 * @returns The running node, after it has begun to listen for callers.
 */
export async function startNode(options: NodeOptions): Promise<NodeHandle> {
    const node = new Node(options, { ...defaultNodeLimits, ...options.limits });
    await node.start();
    return node;
}
