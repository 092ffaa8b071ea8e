package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.request.Fingerprint;

/** Tells the peers which requests were running on an upstream when it crashed. */
@FunctionalInterface
public interface CrashNotifier {
    /**
     * Sends the crash counts; must not block.
     *
     * @param crashes upstreams that crashed while they ran each request
     */
    void send(ImmutableMap<Fingerprint, Integer> crashes);
}
