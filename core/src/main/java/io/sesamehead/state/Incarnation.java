package io.sesamehead.state;

import java.util.HexFormat;

/**
 * Random number that a process generates at start, to distinguish it from its predecessor after a restart.
 *
 * @param value the 64-bit number
 */
public record Incarnation(long value) {
    /**
     * Parses the 16 hexadecimal digits returned by {@link #toString()}.
     *
     * @param text 1 to 16 hexadecimal digits
     * @return the incarnation
     * @throws IllegalArgumentException if the text is not hexadecimal
     */
    public static Incarnation parse(String text) {
        return new Incarnation(HexFormat.fromHexDigitsToLong(text));
    }

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(value);
    }
}
