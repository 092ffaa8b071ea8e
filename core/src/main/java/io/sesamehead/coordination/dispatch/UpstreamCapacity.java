package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.evacuation.Evacuations;
import java.util.List;

/**
 * Decides how many calls this daemon may send to an upstream now. An upstream may have asked this daemon to back off, may
 * limit the rate of all daemons, may be cold, and may belong to an evacuated failure domain; all of these hold at once. A
 * peer that passes calls on is no upstream: it decides by itself. Not thread-safe: confined to the event loop.
 */
public final class UpstreamCapacity {
    private final BusyUpstreams busyUpstreams;
    private final RateLimitShares rateLimits;
    private final ColdUpstreams coldUpstreams;
    private final Evacuations evacuations;

    /**
     * Creates the capacity from the statements of upstreams and operators.
     *
     * @param busyUpstreams upstreams that asked this daemon to back off
     * @param rateLimits this daemon's shares of the rate limits
     * @param coldUpstreams upstreams that are cold
     * @param evacuations the evacuated failure domains
     */
    public UpstreamCapacity(
            BusyUpstreams busyUpstreams,
            RateLimitShares rateLimits,
            ColdUpstreams coldUpstreams,
            Evacuations evacuations) {
        this.busyUpstreams = busyUpstreams;
        this.rateLimits = rateLimits;
        this.coldUpstreams = coldUpstreams;
        this.evacuations = evacuations;
    }

    /**
     * Creates the capacity of a deployment without cold upstreams and evacuations.
     *
     * @param busyUpstreams upstreams that asked this daemon to back off
     * @param rateLimits this daemon's shares of the rate limits
     */
    public UpstreamCapacity(BusyUpstreams busyUpstreams, RateLimitShares rateLimits) {
        this(busyUpstreams, rateLimits, new ColdUpstreams(), new Evacuations());
    }

    /**
     * Returns whether nothing at all may be sent to a target because its failure domain is evacuated.
     *
     * @param target the target
     * @return true while the failure domain of the upstream is evacuated
     */
    public boolean isEvacuated(Target target) {
        return !target.key().isPeer()
                && evacuations.isEvacuated(target.upstream().failureDomain());
    }

    /**
     * Returns the number of slots of a target that this daemon may use now.
     *
     * @param target the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return 0 while nothing may be sent there
     */
    public int availableSlots(Target target, long nowMillis) {
        return isEvacuated(target)
                        || rateLimits.waitMillis(target, nowMillis) > 0
                        || coldUpstreams.waitMillis(target, nowMillis) > 0
                ? 0
                : busyUpstreams.availableSlots(target.upstream().id(), target.slots(), nowMillis);
    }

    /**
     * Returns whether a begun response may be resumed at a target now.
     *
     * @param target the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return false while nothing may be sent there
     */
    public boolean mayResume(Target target, long nowMillis) {
        return !isEvacuated(target)
                && coldUpstreams.waitMillis(target, nowMillis) == 0
                && rateLimits.resumptionWaitMillis(target, nowMillis) == 0
                && !busyUpstreams.isBusy(target.upstream().id(), nowMillis);
    }

    /**
     * Returns the time until a target takes calls of this daemon again, as far as it is known. An evacuation has no known
     * end.
     *
     * @param target the target
     * @param nowMillis current monotonic time, in milliseconds
     * @return the time in milliseconds, 0 if it takes them now
     */
    public long waitMillis(Target target, long nowMillis) {
        long busyMillis = busyUpstreams.remainingMillis(target.upstream().id(), nowMillis);
        long coldMillis = coldUpstreams.waitMillis(target, nowMillis);
        long limitedMillis = Math.max(rateLimits.waitMillis(target, nowMillis), coldMillis);
        return isEvacuated(target) ? 0 : Math.max(busyMillis, limitedMillis);
    }

    /**
     * Records a call that is refused although targets serve it.
     *
     * @param targets the targets that serve it and have not been tried
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordRefused(List<Target> targets, long nowMillis) {
        boolean cold = targets.stream()
                .anyMatch(target -> !isEvacuated(target) && coldUpstreams.waitMillis(target, nowMillis) > 0);
        if (cold) {
            coldUpstreams.recordHeldBack();
        }
    }

    /**
     * Records a request that is sent to a target, whatever becomes of it.
     *
     * @param target the target
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordSent(Target target, long nowMillis) {
        rateLimits.recordSent(target, nowMillis);
        coldUpstreams.recordSent(target, nowMillis);
    }
}
