package io.sesamehead.coordination.request;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates attempt numbers that are distinct within a process. Callers choose request IDs, so two requests can have
 * the same one; distinct attempt numbers prevent a late frame of one from matching an attempt of the other.
 * Thread-safe and lock-free.
 */
public final class AttemptNumberAllocator {
    private final AtomicInteger next;

    /** Creates an allocator that starts at 1. */
    public AttemptNumberAllocator() {
        this(1);
    }

    AttemptNumberAllocator(int first) {
        next = new AtomicInteger(first);
    }

    /**
     * Reserves the numbers for all attempts of one request.
     *
     * @return the first of {@link RequestLifecycle#MAX_ATTEMPTS} consecutive numbers, at least 1; numbers wrap around
     *     to 1 before they overflow
     */
    public int reserve() {
        return next.getAndUpdate(AttemptNumberAllocator::followingBlock);
    }

    private static int followingBlock(int first) {
        int following = first + RequestLifecycle.MAX_ATTEMPTS;
        return following > Integer.MAX_VALUE - RequestLifecycle.MAX_ATTEMPTS || following < 1 ? 1 : following;
    }
}
