package io.sesamehead.entry.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Splits the body of an event stream into whole events and buffers the bytes of an incomplete one. */
public final class EventScanner {
    private static final String ID_FIELD = "id:";
    private static final int INITIAL_BYTES = 1_024;
    /** Maximum event size in bytes, far above the event size of any model. */
    private static final int MAX_EVENT_BYTES = 1_048_576;

    private byte[] pending = new byte[INITIAL_BYTES];
    private int length;
    private int lineStart;

    /**
     * A complete event.
     *
     * @param bytes the event including its terminating blank line
     * @param id event id, if present
     */
    public record Event(byte[] bytes, Optional<String> id) {
        /**
         * Returns the id as a number.
         *
         * @return the number, or empty if the id is missing or not numeric
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
     * Appends body bytes and emits the events that they complete.
     *
     * @param data body bytes
     * @param sink receives each completed event
     * @return false if an event exceeds the maximum size
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
     * Returns whether an incomplete event is buffered.
     *
     * @return true if the input ended within an event
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
