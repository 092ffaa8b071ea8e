package io.sesamehead.entry.transport;

import io.netty.handler.codec.http.HttpHeaders;

/** Parses the {@code Keep-Alive} header: how long a peer keeps an idle connection open. */
final class KeepAliveHeader {
    private static final String NAME = "Keep-Alive";
    private static final String TIMEOUT = "timeout=";
    private static final long MILLIS_PER_SECOND = 1_000;

    private KeepAliveHeader() {}

    /** Returns the timeout in milliseconds, or 0 if it is missing or malformed. */
    static long timeoutMillis(HttpHeaders headers) {
        String value = headers.get(NAME);
        if (value == null) {
            return 0;
        }
        for (String part : value.split(",")) {
            String parameter = part.trim();
            if (parameter.startsWith(TIMEOUT)) {
                return parseSeconds(parameter.substring(TIMEOUT.length()));
            }
        }
        return 0;
    }

    private static long parseSeconds(String text) {
        if (text.isEmpty() || text.length() > 6 || !text.chars().allMatch(Character::isDigit)) {
            return 0;
        }
        return Long.parseLong(text) * MILLIS_PER_SECOND;
    }
}
