package io.sesamehead.coordination.buffer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Account of the bytes that a daemon buffers for calls, with one limit for all of them, because a limit for each alone
 * does not bound their sum. At the limit, the largest incomplete buffer of the source that holds most is given up, so
 * that a faulty source cannot end the calls to the others. Not thread-safe.
 */
public final class BufferAccount {
    private final long limitBytes;
    private final Set<Buffer> buffers = new LinkedHashSet<>();
    private long heldBytes;

    /** What is buffered. */
    public enum Kind {
        /** A response that is being received. It may be given up. */
        INCOMPLETE,
        /** A complete response that its caller has not read yet. */
        COMPLETE
    }

    /** The bytes of one call, which count until they are released. */
    public static final class Buffer {
        private final Kind kind;
        private final String source;
        private long bytes;

        private Buffer(Kind kind, String source) {
            this.kind = kind;
            this.source = source;
        }
    }

    /**
     * Creates an empty account.
     *
     * @param limitBytes maximum number of bytes held by incomplete buffers together with all others
     */
    public BufferAccount(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Opens a buffer without any bytes.
     *
     * @param kind what it holds
     * @param source whose bytes these are, such as an upstream
     * @return the buffer, to be released by the caller
     */
    public Buffer open(Kind kind, String source) {
        Buffer buffer = new Buffer(kind, source);
        buffers.add(buffer);
        return buffer;
    }

    /**
     * Returns the buffer to release before another one may grow.
     *
     * @param growing the buffer that grows
     * @param bytes number of additional bytes
     * @return empty if the bytes fit; otherwise an incomplete buffer, perhaps the growing one itself
     */
    public Optional<Buffer> toRelease(Buffer growing, long bytes) {
        if (heldBytes + bytes <= limitBytes) {
            return Optional.empty();
        }
        Map<String, Long> bytesBySource = new HashMap<>();
        buffers.forEach(buffer -> bytesBySource.merge(buffer.source, buffer.bytes, Long::sum));
        return buffers.stream()
                .filter(buffer -> buffer.kind == Kind.INCOMPLETE && (buffer.bytes > 0 || buffer == growing))
                .max(Comparator.comparingLong((Buffer buffer) -> bytesBySource.get(buffer.source))
                        .thenComparingLong(buffer -> buffer.bytes + (buffer == growing ? bytes : 0)));
    }

    /**
     * Adds bytes to a buffer. Has no effect on a buffer that was released.
     *
     * @param buffer the buffer
     * @param bytes number of bytes, negative if some are no longer held
     */
    public void add(Buffer buffer, long bytes) {
        if (buffers.contains(buffer)) {
            buffer.bytes += bytes;
            heldBytes += bytes;
        }
    }

    /**
     * Removes a buffer from the account. Has no effect if that was done before.
     *
     * @param buffer the buffer
     */
    public void release(Buffer buffer) {
        if (buffers.remove(buffer)) {
            heldBytes -= buffer.bytes;
        }
    }

    /**
     * Returns the bytes that are held.
     *
     * @param kind what the bytes belong to
     * @return the number of bytes
     */
    public long heldBytes(Kind kind) {
        return buffers.stream()
                .filter(buffer -> buffer.kind == kind)
                .mapToLong(buffer -> buffer.bytes)
                .sum();
    }
}
