package io.sesamehead.state;

import java.util.Objects;

/**
 * Mark of one write to the object API, by which a writer recognises its own write after a lost answer.
 *
 * @param writer incarnation of the writing process
 * @param sequence number of the write within that process, from 1
 */
public record WriteToken(Incarnation writer, long sequence) {
    /** Rejects a missing writer. */
    public WriteToken {
        Objects.requireNonNull(writer, "writer");
    }

    /**
     * Parses the form that {@link #toString()} writes.
     *
     * @param text {@code incarnation-sequence}
     * @return the token
     * @throws IllegalArgumentException if the text has another form
     */
    public static WriteToken parse(String text) {
        int dash = text.indexOf('-');
        if (dash < 1) {
            throw new IllegalArgumentException("not a write token: " + text);
        }
        return new WriteToken(Incarnation.parse(text.substring(0, dash)), Long.parseLong(text.substring(dash + 1)));
    }

    @Override
    public String toString() {
        return writer + "-" + sequence;
    }
}
