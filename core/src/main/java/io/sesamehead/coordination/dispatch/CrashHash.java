package io.sesamehead.coordination.dispatch;

import com.google.common.hash.Hashing;

/** Hashes under which daemons report the crashes of targets. */
final class CrashHash {
    private CrashHash() {}

    /**
     * Returns the hash of one crash of a target.
     *
     * @param target the target
     * @param number number of earlier losses at the target that are recorded under hashes of their own
     * @return the hash, the same at all daemons
     */
    static long of(TargetKey target, int number) {
        return Hashing.sipHash24()
                .newHasher()
                .putUnencodedChars(target.name())
                .putLong(target.generation())
                .putInt(number)
                .hash()
                .asLong();
    }
}
