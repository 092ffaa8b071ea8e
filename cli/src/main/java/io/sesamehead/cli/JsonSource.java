package io.sesamehead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/** Reads JSON documents, such as those of daemons' admin ports. */
@FunctionalInterface
public interface JsonSource {
    /**
     * Reads one document.
     *
     * @param url where it is
     * @return the document
     * @throws IOException if it cannot be fetched, has a status other than 200, or is not JSON
     * @throws InterruptedException if the process is being stopped
     */
    JsonNode read(String url) throws IOException, InterruptedException;
}
