package io.sesamehead.daemon.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One object of the platform's object API.
 *
 * @param kind kind, in the plural form of the URL
 * @param name name, unique within the kind
 * @param resourceVersion version that a conditional update names; empty for an object that is not stored yet
 * @param spec content
 */
public record PlatformObject(String kind, String name, String resourceVersion, JsonNode spec) {

    /**
     * Returns the same object with another content, for a conditional update.
     *
     * @param changed the new content
     * @return the changed object with the version unchanged
     */
    public PlatformObject withSpec(JsonNode changed) {
        return new PlatformObject(kind, name, resourceVersion, changed);
    }
}
