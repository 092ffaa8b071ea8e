package io.sesamehead.coordination.admission;

import com.google.common.hash.Hashing;
import io.sesamehead.state.ClientAccount;
import java.util.Optional;

/**
 * What calls are counted by when slots are scarce.
 *
 * @param pool hash of the service and model
 * @param rank rank of the calls, 0 is the most urgent
 * @param account hash of the client account, {@link #NO_ACCOUNT} for calls without one
 * @param returning whether the callers were refused before and the calls can no longer be on time
 */
public record PoolArrivalKey(int pool, int rank, int account, boolean returning) {
    /** Stands for all calls without an account. */
    public static final int NO_ACCOUNT = 0;

    /** Stands for the accounts with the fewest calls, where a report cannot list all of them. */
    public static final int OTHER_ACCOUNTS = -1;

    /**
     * Returns the hash of an account.
     *
     * @param account the account, empty for calls without one
     * @return the hash, equal at all daemons
     */
    public static int accountHash(Optional<ClientAccount> account) {
        return account.map(name -> hash(name.value())).orElse(NO_ACCOUNT);
    }

    /**
     * Returns the key of the accounts that a report does not list.
     *
     * @return this key without its account
     */
    public PoolArrivalKey ofOtherAccounts() {
        return new PoolArrivalKey(pool, rank, OTHER_ACCOUNTS, returning);
    }

    private static int hash(String text) {
        return Hashing.murmur3_32_fixed().hashUnencodedChars(text).asInt();
    }
}
