package io.sesamehead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/** Reads JSON documents, such as those on the admin ports of daemons. */
@FunctionalInterface
public interface JsonSource {
    /**
     * Reads one document.
     *
     * @param url URL of the document
     * @return the document
     * @throws IOException if the document cannot be fetched, has a status other than 200, or is not JSON
     * @throws InterruptedException if the process is being stopped
     */
    JsonNode read(String url) throws IOException, InterruptedException;
}
