package io.sesamehead.coordination.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import io.sesamehead.state.DaemonId;
import java.util.Collection;
import java.util.Comparator;

/** Rendezvous hashing: the loss of a daemon moves only the keys that it had. */
final class RendezvousHash {
    private static final HashFunction HASH = Hashing.murmur3_128(0x5e5a);

    private RendezvousHash() {}

    static ImmutableList<DaemonId> top(String key, Collection<DaemonId> candidates, int count) {
        return candidates.stream()
                .distinct()
                .map(daemon -> new Weighted(weight(key, daemon), daemon))
                .sorted(Weighted.ORDER)
                .limit(count)
                .map(Weighted::daemon)
                .collect(ImmutableList.toImmutableList());
    }

    private static long weight(String key, DaemonId daemon) {
        return HASH.newHasher()
                .putUnencodedChars(key)
                .putByte((byte) 0)
                .putUnencodedChars(daemon.value())
                .hash()
                .asLong();
    }

    /** Holds the weight, because the hash costs more than the rest of the choice together. */
    private record Weighted(long weight, DaemonId daemon) {
        private static final Comparator<Weighted> ORDER = Comparator.comparingLong(Weighted::weight)
                .thenComparing(it -> it.daemon().value());
    }
}
