package io.sesamehead.daemon.protocol;

import io.sesamehead.state.Incarnation;
import java.util.Locale;

/** Values that are written as text and can be malformed. */
final class TextValues {
    private TextValues() {}

    static Incarnation incarnation(String text) throws MalformedMessageException {
        try {
            return Incarnation.parse(text);
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("not an incarnation: " + text);
        }
    }

    static <E extends Enum<E>> E constant(Class<E> type, String text) throws MalformedMessageException {
        try {
            return Enum.valueOf(type, text.toUpperCase(Locale.ROOT).replace('-', '_'));
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException("unknown " + type.getSimpleName() + ": " + text);
        }
    }

    static String text(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
