package io.sesamehead.entry.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Cuts the body of an event stream into whole events. Bytes of an event that is not complete are held back. */
public final class EventScanner {
    private static final String ID_FIELD = "id:";
    private static final int INITIAL_BYTES = 1_024;
    /** Largest event that is held back, in bytes: far above the events of any model. */
    private static final int MAX_EVENT_BYTES = 1_048_576;

    private byte[] pending = new byte[INITIAL_BYTES];
    private int length;
    private int lineStart;

    /**
     * A whole event.
     *
     * @param bytes the event with its closing blank line
     * @param id its id, if it has one
     */
    public record Event(byte[] bytes, Optional<String> id) {
        /**
         * Returns the id as a number.
         *
         * @return the number, or empty if there is no id or it is no number
         */
        public OptionalLong numericId() {
            boolean digits = id.isPresent()
                    && !id.get().isEmpty()
                    && id.get().length() < 19
                    && id.get().chars().allMatch(Character::isDigit);
            return digits ? OptionalLong.of(Long.parseLong(id.get())) : OptionalLong.empty();
        }
    }

    /**
     * Takes bytes of the body.
     *
     * @param data the bytes
     * @param sink takes each event that they complete
     * @return false if an event exceeds the largest size
     */
    public boolean feed(byte[] data, Consumer<Event> sink) {
        for (byte value : data) {
            if (length == MAX_EVENT_BYTES) {
                return false;
            }
            append(value);
            if (value == '\n') {
                endLine(sink);
            }
        }
        return true;
    }

    /**
     * Tells whether bytes of an incomplete event are held back.
     *
     * @return true in the middle of an event
     */
    public boolean hasPartialEvent() {
        return length > 0;
    }

    private void append(byte value) {
        if (length == pending.length) {
            pending = Arrays.copyOf(pending, pending.length * 2);
        }
        pending[length] = value;
        length++;
    }

    private void endLine(Consumer<Event> sink) {
        int end = length - 1;
        if (end > lineStart && pending[end - 1] == '\r') {
            end--;
        }
        boolean blank = end == lineStart;
        lineStart = length;
        if (!blank) {
            return;
        }
        byte[] bytes = Arrays.copyOf(pending, length);
        length = 0;
        lineStart = 0;
        sink.accept(new Event(bytes, idOf(bytes)));
    }

    private static Optional<String> idOf(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        for (String line : text.split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                return Optional.of(line.substring(ID_FIELD.length()).trim());
            }
        }
        return Optional.empty();
    }
}
