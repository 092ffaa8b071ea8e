package io.sesamehead.bench;

import java.util.stream.LongStream;

/**
 * A range of seeds.
 *
 * @param first the first seed
 * @param last the last seed
 */
public record Seeds(long first, long last) {
    /**
     * Parses {@code A-B} or {@code A}.
     *
     * @param text the range
     * @return the seeds
     * @throws IllegalArgumentException if the text is no range
     */
    public static Seeds parse(String text) {
        String[] ends = text.split("-", 2);
        return new Seeds(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
    }

    /**
     * Returns the seeds in order.
     *
     * @return a stream
     */
    public LongStream stream() {
        return LongStream.rangeClosed(first, last);
    }

    @Override
    public String toString() {
        return first + "-" + last;
    }
}
