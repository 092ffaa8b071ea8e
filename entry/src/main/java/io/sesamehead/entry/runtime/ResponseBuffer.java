package io.sesamehead.entry.runtime;

import io.netty.buffer.ByteBuf;
import io.sesamehead.coordination.buffer.BufferAccount;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Body of a response that is received in full before it is passed on. Confined to the event loop. */
final class ResponseBuffer {
    /** Maximum size of a response body, in bytes: far above the responses of the plain services. */
    static final int MAX_BODY_BYTES = 8_388_608;

    private static final int MIN_CAPACITY_BYTES = 1_024;
    private static final byte[] EMPTY = {};

    private final Pool pool;
    private final BufferAccount.Buffer account;
    private final Runnable onEvicted;
    private byte[] bytes = EMPTY;
    private int size;

    /** The buffers of a daemon, which share one limit. */
    static final class Pool {
        private final BufferAccount account;
        private final Map<BufferAccount.Buffer, ResponseBuffer> buffers = new HashMap<>();

        Pool(BufferAccount account) {
            this.account = account;
        }

        /**
         * Opens a buffer.
         *
         * @param source the upstream that sends the response
         * @param onEvicted ends the attempt if its buffer is given up for others
         */
        ResponseBuffer open(String source, Runnable onEvicted) {
            ResponseBuffer buffer =
                    new ResponseBuffer(this, account.open(BufferAccount.Kind.INCOMPLETE, source), onEvicted);
            buffers.put(buffer.account, buffer);
            return buffer;
        }

        /** Counts the bytes of a complete response until the returned action is run. */
        Runnable holdComplete(String source, int byteCount) {
            BufferAccount.Buffer complete = account.open(BufferAccount.Kind.COMPLETE, source);
            account.add(complete, byteCount);
            return () -> account.release(complete);
        }

        long heldBytes(BufferAccount.Kind kind) {
            return account.heldBytes(kind);
        }
    }

    private ResponseBuffer(Pool pool, BufferAccount.Buffer account, Runnable onEvicted) {
        this.pool = pool;
        this.account = account;
        this.onEvicted = onEvicted;
    }

    /**
     * Appends bytes, if they fit.
     *
     * @return false if the body is too large, or this buffer was given up because the limit of all buffers is reached
     */
    boolean append(ByteBuf data) {
        int added = data.readableBytes();
        if (size + added > MAX_BODY_BYTES || !reserve(size + added)) {
            return false;
        }
        data.readBytes(bytes, size, added);
        size += added;
        return true;
    }

    private boolean reserve(int needed) {
        if (needed <= bytes.length) {
            return true;
        }
        int capacity = Math.min(MAX_BODY_BYTES, Math.max(Math.max(MIN_CAPACITY_BYTES, needed), 2 * bytes.length));
        // Both arrays are held while one is copied to the other.
        if (!makeRoom(capacity)) {
            return false;
        }
        pool.account.add(account, capacity);
        int before = bytes.length;
        bytes = Arrays.copyOf(bytes, capacity);
        pool.account.add(account, -before);
        return true;
    }

    private boolean makeRoom(int byteCount) {
        Optional<BufferAccount.Buffer> surplus = pool.account.toRelease(account, byteCount);
        while (surplus.isPresent()) {
            ResponseBuffer evicted = pool.buffers.get(surplus.get());
            evicted.release();
            if (evicted == this) {
                return false;
            }
            evicted.onEvicted.run();
            surplus = pool.account.toRelease(account, byteCount);
        }
        return true;
    }

    /** Returns the body and releases the buffer. */
    byte[] take() {
        byte[] body = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
        release();
        return body;
    }

    /** Releases the bytes. Does nothing if that was done before. */
    void release() {
        pool.account.release(account);
        pool.buffers.remove(account);
        bytes = EMPTY;
        size = 0;
    }
}
