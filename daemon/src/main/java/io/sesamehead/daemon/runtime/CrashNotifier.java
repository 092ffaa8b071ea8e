package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.request.Fingerprint;

/** Reports to peers which requests were in flight on an upstream when it crashed. */
@FunctionalInterface
public interface CrashNotifier {
    /**
     * Sends the crash counts; must not block.
     *
     * @param crashes for each request, the number of upstreams that crashed while running it
     */
    void send(ImmutableMap<Fingerprint, Integer> crashes);
}
