package io.sesamehead.coordination.buffer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against responses that exhaust the memory together, and against ending sound calls for a faulty source. */
final class BufferAccountTest {
    private static final long LIMIT_BYTES = 1_000;
    private static final long STEP_BYTES = 50;

    private final BufferAccount account = new BufferAccount(LIMIT_BYTES);
    private final List<BufferAccount.Buffer> releasedBuffers = new ArrayList<>();

    private void grow(BufferAccount.Buffer buffer, long bytes) {
        Optional<BufferAccount.Buffer> surplus = account.toRelease(buffer, bytes);
        while (surplus.isPresent()) {
            releasedBuffers.add(surplus.get());
            account.release(surplus.get());
            if (surplus.get() == buffer) {
                return;
            }
            surplus = account.toRelease(buffer, bytes);
        }
        account.add(buffer, bytes);
    }

    private BufferAccount.Buffer incomplete(String source) {
        return account.open(BufferAccount.Kind.INCOMPLETE, source);
    }

    @Test
    void floodingSourceLosesItsOwnBuffersOnly() {
        BufferAccount.Buffer large = incomplete("sound");
        grow(large, 400);
        BufferAccount.Buffer small = incomplete("other");
        grow(small, 10);
        for (int call = 0; call < 40; call++) {
            BufferAccount.Buffer flooding = incomplete("flooding");
            for (int step = 0; step < 10; step++) {
                grow(flooding, STEP_BYTES);
                assertThat(held()).isLessThanOrEqualTo(LIMIT_BYTES);
            }
        }

        assertThat(releasedBuffers).isNotEmpty().doesNotContain(large, small);
    }

    @Test
    void completeResponsesOfSlowCallersAreKeptAndLimitOthers() {
        BufferAccount.Buffer complete = account.open(BufferAccount.Kind.COMPLETE, "sound");
        account.add(complete, LIMIT_BYTES);
        BufferAccount.Buffer next = incomplete("sound");
        grow(next, STEP_BYTES);
        assertThat(releasedBuffers).containsExactly(next);

        account.release(complete);
        account.release(complete);

        grow(incomplete("sound"), LIMIT_BYTES);
        assertThat(releasedBuffers).containsExactly(next);
    }

    @Test
    void releasedBufferNoLongerCounts() {
        BufferAccount.Buffer buffer = incomplete("sound");
        grow(buffer, STEP_BYTES);
        account.release(buffer);
        account.add(buffer, STEP_BYTES);

        assertThat(held()).isZero();
    }

    private long held() {
        return account.heldBytes(BufferAccount.Kind.INCOMPLETE) + account.heldBytes(BufferAccount.Kind.COMPLETE);
    }
}
