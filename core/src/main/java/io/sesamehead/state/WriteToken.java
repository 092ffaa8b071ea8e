package io.sesamehead.state;

import java.util.Objects;

/**
 * Unique token of a write to the object API, by which a writer recognizes its own write after a lost answer.
 *
 * @param writer incarnation of the writing process
 * @param sequence sequence number of the write within that process, from 1
 */
public record WriteToken(Incarnation writer, long sequence) {
    /** Rejects a null writer. */
    public WriteToken {
        Objects.requireNonNull(writer, "writer");
    }

    /**
     * Parses the form returned by {@link #toString()}.
     *
     * @param text {@code incarnation-sequence}
     * @return the token
     * @throws IllegalArgumentException if the text is not a write token
     */
    public static WriteToken parse(String text) {
        int dash = text.indexOf('-');
        if (dash < 1) {
            throw new IllegalArgumentException("expected incarnation-sequence, found " + text);
        }
        return new WriteToken(Incarnation.parse(text.substring(0, dash)), Long.parseLong(text.substring(dash + 1)));
    }

    @Override
    public String toString() {
        return writer + "-" + sequence;
    }
}
