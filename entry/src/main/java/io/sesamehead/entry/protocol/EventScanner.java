package io.sesamehead.entry.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** Splits the body of an event stream into whole events and buffers the bytes of an incomplete one. */
public final class EventScanner {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    /** Any number of this many digits fits a long. */
    private static final int MAX_NUMBER_DIGITS = 18;

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
            if (id.isEmpty() || id.get().isEmpty() || id.get().length() > MAX_NUMBER_DIGITS) {
                return OptionalLong.empty();
            }
            String text = id.get();
            for (int i = 0; i < text.length(); i++) {
                if (!Character.isDigit(text.charAt(i))) {
                    return OptionalLong.empty();
                }
            }
            return OptionalLong.of(Long.parseLong(text));
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
        for (int start = 0; start < bytes.length; start = lineEnd(bytes, start) + 1) {
            if (startsWithIdField(bytes, start)) {
                int from = start + ID_FIELD.length;
                String value = new String(bytes, from, lineEnd(bytes, start) - from, StandardCharsets.UTF_8);
                return Optional.of(value.trim());
            }
        }
        return Optional.empty();
    }

    private static boolean startsWithIdField(byte[] bytes, int start) {
        return bytes.length - start >= ID_FIELD.length
                && Arrays.equals(bytes, start, start + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
    }

    private static int lineEnd(byte[] bytes, int start) {
        int end = start;
        while (end < bytes.length && bytes[end] != '\n') {
            end++;
        }
        return end;
    }
}
