package io.sesamehead.coordination.request;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Hands out the attempt numbers of a process. Callers choose request identifiers, so two requests can have the same one;
 * with numbers of its own, a late frame of one never matches an attempt of the other. Thread-safe without a lock.
 */
public final class AttemptNumberAllocator {
    private final AtomicInteger next;

    /** Creates numbers from 1. */
    public AttemptNumberAllocator() {
        this(1);
    }

    AttemptNumberAllocator(int first) {
        next = new AtomicInteger(first);
    }

    /**
     * Reserves numbers for all attempts of one request.
     *
     * @return the first of {@link RequestLifecycle#MAX_ATTEMPTS} numbers, at least 1; they start again after 2^31
     */
    public int reserve() {
        return next.getAndUpdate(AttemptNumberAllocator::after);
    }

    private static int after(int first) {
        int following = first + RequestLifecycle.MAX_ATTEMPTS;
        return following > Integer.MAX_VALUE - RequestLifecycle.MAX_ATTEMPTS || following < 1 ? 1 : following;
    }
}
