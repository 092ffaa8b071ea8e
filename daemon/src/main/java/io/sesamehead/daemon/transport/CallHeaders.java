package io.sesamehead.daemon.transport;

import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RequestId;
import jakarta.servlet.http.HttpServletRequest;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Validated request headers of a call.
 *
 * @param request identifier of the request
 * @param account the client account
 * @param key idempotency key, if present
 * @param nonIdempotent whether the caller declares the call non-idempotent, if present
 * @param deadlineMillis time that the caller waits for the response, in milliseconds
 * @param priority priority from 0 to 9
 */
record CallHeaders(
        RequestId request,
        ClientAccount account,
        Optional<String> key,
        Optional<Boolean> nonIdempotent,
        long deadlineMillis,
        int priority) {
    static final String REQUEST_ID = "X-Request-Id";

    private static final String ACCOUNT = "X-Client-Account";
    private static final String KEY = "Idempotency-Key";
    private static final String NON_IDEMPOTENT = "X-Non-Idempotent";
    private static final String DEADLINE = "X-Deadline-Millis";
    private static final String PRIORITY = "X-Priority";
    private static final int MAX_TEXT_LENGTH = 128;
    private static final int MAX_DEADLINE_MILLIS = 600_000;
    private static final int DEFAULT_DEADLINE_MILLIS = 30_000;
    private static final int MAX_PRIORITY = 9;
    private static final int DEFAULT_PRIORITY = 5;

    /** Thrown when a header is missing, repeated or not valid. */
    static final class InvalidHeaderException extends Exception {
        private static final long serialVersionUID = 1L;
        private final ErrorKind kind;

        InvalidHeaderException(ErrorKind kind, String message) {
            super(message);
            this.kind = kind;
        }

        ErrorKind kind() {
            return kind;
        }
    }

    static CallHeaders read(HttpServletRequest http, RequestId request) throws InvalidHeaderException {
        Optional<String> account = text(http, ACCOUNT);
        if (account.isEmpty()) {
            throw new InvalidHeaderException(ErrorKind.MISSING_ACCOUNT, "header " + ACCOUNT + " is required");
        }
        return new CallHeaders(
                request,
                new ClientAccount(account.get()),
                text(http, KEY),
                flag(http, NON_IDEMPOTENT),
                number(http, DEADLINE, 1, MAX_DEADLINE_MILLIS, DEFAULT_DEADLINE_MILLIS),
                number(http, PRIORITY, 0, MAX_PRIORITY, DEFAULT_PRIORITY));
    }

    /** Returns the request identifier that the caller sent, or a generated one if there is none. */
    static RequestId requestId(HttpServletRequest http, Supplier<RequestId> generator) throws InvalidHeaderException {
        return text(http, REQUEST_ID).map(RequestId::new).orElseGet(generator);
    }

    private static Optional<String> text(HttpServletRequest http, String name) throws InvalidHeaderException {
        List<String> values = Collections.list(http.getHeaders(name));
        if (values.size() > 1) {
            throw invalid("header " + name + " is given " + values.size() + " times");
        }
        if (values.isEmpty() || (name.equals(ACCOUNT) && values.get(0).isBlank())) {
            return Optional.empty();
        }
        String value = values.get(0);
        boolean printable = value.chars().allMatch(c -> c >= ' ' && c <= '~');
        if (value.isBlank() || value.length() > MAX_TEXT_LENGTH || !printable) {
            throw invalid("header " + name + " must have 1 to " + MAX_TEXT_LENGTH + " printable ASCII characters");
        }
        return Optional.of(value);
    }

    private static Optional<Boolean> flag(HttpServletRequest http, String name) throws InvalidHeaderException {
        Optional<String> value = text(http, name);
        if (value.isPresent() && !value.get().equals("true") && !value.get().equals("false")) {
            throw invalid("header " + name + " must be true or false");
        }
        return value.map(Boolean::valueOf);
    }

    private static int number(HttpServletRequest http, String name, int min, int max, int defaultValue)
            throws InvalidHeaderException {
        Optional<String> value = text(http, name);
        if (value.isEmpty()) {
            return defaultValue;
        }
        try {
            int number = Integer.parseInt(value.get());
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, together with numbers that are out of range.
        }
        throw invalid("header " + name + " must be an integer from " + min + " to " + max);
    }

    private static InvalidHeaderException invalid(String message) {
        return new InvalidHeaderException(ErrorKind.BAD_HEADER, message);
    }
}
