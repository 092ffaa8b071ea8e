package io.sesamehead.state;

/**
 * Generation of an accepted release note; incremented by each acceptance.
 *
 * @param value the number, 0 before the first acceptance
 */
public record Generation(long value) implements Comparable<Generation> {
    /** Generation before any note was accepted. */
    public static final Generation NONE = new Generation(0);

    /**
     * Returns the generation of the next acceptance.
     *
     * @return this generation plus one
     */
    public Generation next() {
        return new Generation(value + 1);
    }

    @Override
    public int compareTo(Generation other) {
        return Long.compare(value, other.value);
    }
}
