package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Schedules one report ahead of the periodic ones for all that is learned at the same moment. */
final class EarlyReport {
    /** Delay of an early report, in milliseconds. The attempts that a crash ended fail one after another. */
    private static final long DELAY_MILLIS = 5;

    private final EventLoop loop;
    private final Clocks clocks;
    private final LongSupplier spacingMillis;
    private final Consumer<Set<Content>> send;
    private final Set<Content> requested = EnumSet.noneOf(Content.class);
    private long sentAtMillis = Long.MIN_VALUE / 2;

    /** What a report is for. */
    enum Content {
        /** What every daemon must know at once. */
        URGENT,
        /** What this daemon tells others of the store. */
        STORE_VIEW
    }

    /**
     * Creates a schedule without reports.
     *
     * @param spacingMillis supplies the minimum time between two early reports, in milliseconds
     * @param send sends a report with what was requested
     */
    EarlyReport(EventLoop loop, Clocks clocks, LongSupplier spacingMillis, Consumer<Set<Content>> send) {
        this.loop = loop;
        this.clocks = clocks;
        this.spacingMillis = spacingMillis;
        this.send = send;
    }

    /** Requests a report soon. */
    void request(Content content) {
        boolean scheduled = !requested.isEmpty();
        requested.add(content);
        if (scheduled) {
            return;
        }
        long spacedMillis = sentAtMillis + spacingMillis.getAsLong() - clocks.steadyMillis();
        loop.schedule(this::sendRequested, Math.max(DELAY_MILLIS, spacedMillis), TimeUnit.MILLISECONDS);
    }

    private void sendRequested() {
        Set<Content> contents = EnumSet.copyOf(requested);
        requested.clear();
        sentAtMillis = clocks.steadyMillis();
        send.accept(contents);
    }
}
