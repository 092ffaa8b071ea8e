package io.sesamehead.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object of the platform's object API.
 *
 * @param kind kind in its plural form, as in the URL
 * @param name name, unique within the kind
 * @param resourceVersion version that a conditional update requires; empty if the object is not stored yet
 * @param spec content
 */
public record PlatformObject(String kind, String name, String resourceVersion, JsonNode spec) {

    /**
     * Returns a copy with different content, for a conditional update.
     *
     * @param changed the new content
     * @return the copy, with the version unchanged
     */
    public PlatformObject withSpec(JsonNode changed) {
        return new PlatformObject(kind, name, resourceVersion, changed);
    }
}
