/**
 * A configuration that is only shown while the node may take requests.
 *
 * @packageDocumentation
 */
import type { AppliedConfiguration, ConfigurationSource } from "@pimentocleat/state";

/** Options of {@link GatedConfiguration}. */
export interface GatedConfigurationOptions {
    readonly source: ConfigurationSource;
    /** Whether the node may take requests; asked on every request. */
    readonly isServingAllowed: () => boolean;
}

/**
 * Hides the configuration from the request path while the node may not take requests. Changes pass at any
 * time, so that the pools are up to date when the gate opens.
 */
export class GatedConfiguration implements ConfigurationSource {
    /** @param options - The source and the gate. */
    constructor(private readonly options: GatedConfigurationOptions) {}

    readCurrent(): AppliedConfiguration | undefined {
        return this.options.isServingAllowed() ? this.options.source.readCurrent() : undefined;
    }

    onChange(listener: (applied: AppliedConfiguration) => void): () => void {
        const { source, isServingAllowed: isOpen } = this.options;
        const hidden = isOpen() ? undefined : source.readCurrent();
        if (hidden !== undefined) {
            // The subscriber could not read this one and would wait for the next.
            listener(hidden);
        }
        return source.onChange(listener);
    }
}
