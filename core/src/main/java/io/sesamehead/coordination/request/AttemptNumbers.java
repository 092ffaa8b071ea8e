package io.sesamehead.coordination.request;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out the attempt numbers of a process. Callers choose request identifiers, so two requests can have the same one;
 * with numbers of its own, a late frame of one never matches an attempt of the other. Thread-safe without a lock.
 */
public final class AttemptNumbers {
    private final AtomicInteger next;

    /** Creates numbers from 1. */
    public AttemptNumbers() {
        this(1);
    }

    AttemptNumbers(int first) {
        next = new AtomicInteger(first);
    }

    /**
     * Reserves numbers for all attempts of one request.
     *
     * @return the first of {@link RequestRun#MAX_ATTEMPTS} numbers, at least 1; they start again after 2^31
     */
    public int reserve() {
        return next.getAndUpdate(AttemptNumbers::after);
    }

    private static int after(int first) {
        int following = first + RequestRun.MAX_ATTEMPTS;
        return following > Integer.MAX_VALUE - RequestRun.MAX_ATTEMPTS || following < 1 ? 1 : following;
    }
}
