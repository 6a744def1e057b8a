/**
 * Creation of keys with a random secret, of which only the digest is stored.
 *
 * @packageDocumentation
 */
import { createHash, randomBytes } from "node:crypto";
import { keySchema } from "@pimentocleat/schema";
import type { FileChange } from "@pimentocleat/state";

const secretBytes = 32;
const secretPrefix = "pk-";

/** Properties of a key to create. */
export interface KeyCreationRequest {
    readonly keyId: string;
    readonly customer: string;
    readonly defaultClass?: string;
}

/** A key that is not stored yet. */
export interface CreatedKey {
    /** Shown once to the operator; never logged or stored. */
    readonly secret: string;
    /** The file that defines the key; one file per key, so that the changes of several operators do not conflict. */
    readonly change: FileChange;
}

/**
 * Creates a key.
 *
 * @param request - Identifier, customer and default class.
 * @returns The secret and the file that defines the key.
 * @throws A `ZodError` when the identifier or a name is not allowed.
 */
export function createKey(request: KeyCreationRequest): CreatedKey {
    const secret = `${secretPrefix}${randomBytes(secretBytes).toString("base64url")}`;
    const { id, customer, digest, defaultClass } = keySchema.parse({
        id: request.keyId,
        customer: request.customer,
        digest: createHash("sha256").update(secret).digest("hex"),
        ...(request.defaultClass === undefined ? {} : { defaultClass: request.defaultClass }),
    });
    const lines = ["keys:", `  - id: ${JSON.stringify(id)}`, `    customer: ${JSON.stringify(customer)}`];
    if (defaultClass !== undefined) {
        lines.push(`    defaultClass: ${JSON.stringify(defaultClass)}`);
    }
    lines.push(`    digest: ${JSON.stringify(digest)}`, "");
    return { secret, change: { name: `key-${id}.yaml`, content: lines.join("\n") } };
}
