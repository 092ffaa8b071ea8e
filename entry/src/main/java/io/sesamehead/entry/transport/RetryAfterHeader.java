package io.sesamehead.entry.transport;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.math.BigDecimal;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.util.OptionalLong;

/** Reads when a peer wants the next request. */
public final class RetryAfterHeader {
    private static final BigDecimal MILLIS_PER_SECOND = BigDecimal.valueOf(1_000);
    /** Characters of the longest number that is read: more digits than any time has. */
    private static final int MAX_CHARACTERS = 32;

    private RetryAfterHeader() {}

    /**
     * Reads the header: seconds, whole or with a fraction, or a date, which counts from the date of the answer.
     *
     * @param headers an answer's headers
     * @param maxMillis longest time that is believed, in milliseconds
     * @return the time from now, in milliseconds, empty if there is none or it cannot be read
     */
    public static OptionalLong delayMillis(HttpHeaders headers, long maxMillis) {
        String value = headers.get(HttpHeaderNames.RETRY_AFTER, "").trim();
        if (value.isEmpty()) {
            return OptionalLong.empty();
        }
        boolean number = value.chars().allMatch(c -> Character.isDigit(c) || c == '.');
        return number ? seconds(value, maxMillis) : date(value, headers, maxMillis);
    }

    private static OptionalLong seconds(String value, long maxMillis) {
        if (value.length() > MAX_CHARACTERS) {
            return OptionalLong.empty();
        }
        try {
            BigDecimal millis = new BigDecimal(value).multiply(MILLIS_PER_SECOND);
            return OptionalLong.of(millis.min(BigDecimal.valueOf(maxMillis)).longValue());
        } catch (NumberFormatException e) {
            // The caller logs the header as unreadable.
            return OptionalLong.empty();
        }
    }

    private static OptionalLong date(String value, HttpHeaders headers, long maxMillis) {
        try {
            Instant end = Instant.from(DateTimeFormatter.RFC_1123_DATE_TIME.parse(value));
            Instant start =
                    Instant.from(DateTimeFormatter.RFC_1123_DATE_TIME.parse(headers.get(HttpHeaderNames.DATE, "")));
            return OptionalLong.of(Math.clamp(Duration.between(start, end).toMillis(), 0, maxMillis));
        } catch (DateTimeException e) {
            // The caller logs the header as unreadable.
            return OptionalLong.empty();
        }
    }
}
