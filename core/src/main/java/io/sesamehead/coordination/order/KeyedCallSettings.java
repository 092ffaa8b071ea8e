package io.sesamehead.coordination.order;

import io.sesamehead.state.ServiceSpec.PlainService;

/**
 * Settings of a service for keyed calls, from the release note.
 *
 * @param asksByKey whether the upstream supports status queries by key
 * @param refusesRepeats whether the upstream itself refuses a repeated key
 */
public record KeyedCallSettings(boolean asksByKey, boolean refusesRepeats) {
    /**
     * Returns the settings of a plain service.
     *
     * @param service the service
     * @return its settings for keyed calls
     */
    public static KeyedCallSettings of(PlainService service) {
        return new KeyedCallSettings(service.asksByKey(), service.refusesRepeats());
    }
}
