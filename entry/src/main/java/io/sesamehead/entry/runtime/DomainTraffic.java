package io.sesamehead.entry.runtime;

import com.codahale.metrics.Counter;
import io.sesamehead.coordination.dispatch.CallSizes;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetPool;
import io.sesamehead.state.FailureDomain;

/** Counts the calls and bytes that leave this daemon's failure domain, and measures the size of calls. */
final class DomainTraffic {
    private final FailureDomain localDomain;
    private final double millisPerKilobyte;
    private final CallSizes sizes = new CallSizes();
    private final Counter callsHome;
    private final Counter callsAway;
    private final Counter bytesAway;

    DomainTraffic(FailureDomain localDomain, double millisPerKilobyte, DaemonMetrics metrics) {
        this.localDomain = localDomain;
        this.millisPerKilobyte = millisPerKilobyte;
        this.callsHome = metrics.counter("calls_by_domain{to=\"home\"}");
        this.callsAway = metrics.counter("calls_by_domain{to=\"away\"}");
        this.bytesAway = metrics.counter("bytes_between_domains");
    }

    /** Records a request that is sent to an upstream. */
    void recordSent(Target target) {
        (isAway(target) ? callsAway : callsHome).inc();
    }

    /** Records the bytes of an attempt that has ended: its request body and what was received of the response. */
    void recordBytes(Target target, long bytes) {
        if (isAway(target)) {
            bytesAway.inc(bytes);
        }
    }

    /** Records the bytes of a call that has run to its end. */
    void recordSize(Target target, long bytes) {
        sizes.record(TargetPool.of(target), bytes);
    }

    /** Returns the delay that is accepted to keep the bytes of a pool's call in its failure domain, in milliseconds. */
    double byteMillis(TargetPool pool) {
        return millisPerKilobyte * sizes.meanKilobytes(pool);
    }

    private boolean isAway(Target target) {
        return !target.upstream().failureDomain().equals(localDomain);
    }
}
