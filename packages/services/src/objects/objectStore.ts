/**
 * The platform's object store.
 *
 * @packageDocumentation
 */

/**
 * Client of the object store; every method throws a `PlatformError` on failure. Objects are immutable and identified
 * by their digest.
 */
export interface ObjectStore {
    /**
     * Stores an object.
     *
     * @param name - The object's name.
     * @param content - The bytes.
     */
    putObject(name: string, content: Uint8Array): Promise<void>;
    /**
     * Reads an object.
     *
     * @param name - The object's name.
     * @returns The bytes, or undefined when absent.
     */
    getObject(name: string): Promise<Uint8Array | undefined>;
}
