package io.sesamehead.coordination.order;

import io.sesamehead.state.ServiceSpec.PlainService;

/**
 * What the release note says about keyed calls of a service.
 *
 * @param asksByKey whether the upstream answers what became of a key
 * @param refusesRepeats whether the upstream itself refuses a repeated key
 */
public record KeyedCallSettings(boolean asksByKey, boolean refusesRepeats) {
    /**
     * Takes the settings of a plain service.
     *
     * @param service the service
     * @return its settings
     */
    public static KeyedCallSettings of(PlainService service) {
        return new KeyedCallSettings(service.asksByKey(), service.refusesRepeats());
    }
}
