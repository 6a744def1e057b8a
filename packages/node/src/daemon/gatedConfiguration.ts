/**
 * A configuration source that is readable only while the node may serve requests.
 *
 * @packageDocumentation
 */
import type { AppliedConfiguration, ConfigurationSource } from "@pimentocleat/state";

/** Options of {@link GatedConfiguration}. */
export interface GatedConfigurationOptions {
    readonly source: ConfigurationSource;
    /** Returns whether the node may serve requests; called for every request. */
    readonly isServingAllowed: () => boolean;
}

/**
 * Hides the configuration from the request path while the node must not serve requests. Changes are always
 * passed on, so that the pools are up to date once the node may serve again.
 */
export class GatedConfiguration implements ConfigurationSource {
    /** @param options - The source and the condition for reading it. */
    constructor(private readonly options: GatedConfigurationOptions) {}

    readCurrent(): AppliedConfiguration | undefined {
        return this.options.isServingAllowed() ? this.options.source.readCurrent() : undefined;
    }

    onChange(listener: (applied: AppliedConfiguration) => void): () => void {
        const { source, isServingAllowed } = this.options;
        const hidden = isServingAllowed() ? undefined : source.readCurrent();
        if (hidden !== undefined) {
            // The subscriber cannot read the current configuration and would otherwise wait for the next one.
            listener(hidden);
        }
        return source.onChange(listener);
    }
}
