package io.sesamehead.entry.runtime;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.sesamehead.coordination.dispatch.CrashHistory;
import io.sesamehead.coordination.dispatch.CrashReport;
import io.sesamehead.entry.port.CrashRecord;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.StoreRevision;
import java.time.InstantSource;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Persists the requests that are refused because of their crashes in one object of the store, so that they survive a
 * simultaneous stop of all daemons. Running daemons exchange them in their reports; the store is read at startup and
 * rarely afterwards.
 */
final class CrashRecorder {
    private static final String OBJECT_NAME = "refused";
    /** Delay of the second read after startup, in milliseconds: the first may return data that is seconds old. */
    private static final long SECOND_READ_DELAY_MILLIS = 2_500;
    /** Interval of later reads, in milliseconds: serves daemons that reach the store but no other daemon. */
    private static final long READ_INTERVAL_MILLIS = 300_000;
    /** Delay before a failed store call is retried, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 1_000;

    /** Minimum delay after a restore of the store before its content is checked, in milliseconds. */
    private static final long MIN_CHECK_DELAY_MILLIS = 500;
    /** Time over which the checks of all daemons are spread, in milliseconds: the first that writes spares the others. */
    private static final long CHECK_SPREAD_MILLIS = 4_500;

    private static final long NEVER = Long.MAX_VALUE;

    private static final String READ_TASK = "crashes-read";
    private static final String WRITE_TASK = "crashes-write";

    private final EventLoopTasks tasks;
    private final Clocks clocks;
    private final InstantSource wallClock;
    private final ObjectStore store;
    private final CrashHistory crashHistory;
    private final EventLog log;
    private final RandomGenerator random;
    private boolean writePending;
    private boolean writeInFlight;
    /** Whether the pending call only writes what a restored store lacks. */
    private boolean checking;

    private long nextWriteAtMillis;
    private long checkAtMillis = NEVER;

    CrashRecorder(
            EventLoop loop,
            Clocks clocks,
            InstantSource wallClock,
            ObjectStore store,
            CrashHistory crashHistory,
            EventLog log,
            RandomGenerator random) {
        this.tasks = new EventLoopTasks(loop, log);
        this.clocks = clocks;
        this.wallClock = wallClock;
        this.store = store;
        this.crashHistory = crashHistory;
        this.log = log;
        this.random = random;
    }

    /** Schedules the reads. */
    void start() {
        tasks.execute(READ_TASK, this::read, this::scheduleRead);
        tasks.schedule(READ_TASK, this::read, SECOND_READ_DELAY_MILLIS, this::scheduleRead);
        tasks.repeat(READ_TASK, this::read, READ_INTERVAL_MILLIS);
    }

    /** Handles a restore of the store from a copy, which may lack refused requests that were written since. */
    void onStoreRestored() {
        checkAtMillis = clocks.steadyMillis() + MIN_CHECK_DELAY_MILLIS + random.nextLong(CHECK_SPREAD_MILLIS);
    }

    /**
     * Writes what is refused if that has changed because of crashes at this daemon, or if a restored store may lack a part
     * of it.
     */
    void writeIfChanged() {
        long now = clocks.steadyMillis();
        writePending |= crashHistory.takeRefusalsChanged(now);
        boolean checkDue = now >= checkAtMillis;
        if ((writePending || checkDue) && !writeInFlight && now >= nextWriteAtMillis) {
            checking = !writePending;
            writePending = false;
            checkAtMillis = NEVER;
            if (checking && crashHistory.refusedRequests(now).isEmpty()) {
                return;
            }
            writeInFlight = true;
            tasks.run(WRITE_TASK, this::listAndWrite, this::onWriteTaskFailed);
        }
    }

    private void listAndWrite() {
        store.list(ObjectKind.CRASHES, false, tasks.callback(WRITE_TASK, this::write, this::onWriteTaskFailed));
    }

    private void onWriteTaskFailed() {
        retry("failed");
    }

    private void read() {
        store.list(ObjectKind.CRASHES, true, tasks.callback(READ_TASK, this::onListing, this::scheduleRead));
    }

    private void onListing(StoreResult<Listing<CrashRecord>> answer) {
        mergeListing(answer);
        if (!(answer instanceof StoreResult.Ok<Listing<CrashRecord>>)) {
            scheduleRead();
        }
    }

    private void scheduleRead() {
        tasks.schedule(READ_TASK, this::read, RETRY_DELAY_MILLIS, this::scheduleRead);
    }

    private Optional<StoreRevision> mergeListing(StoreResult<Listing<CrashRecord>> answer) {
        Optional<StoreRevision> revision = Optional.empty();
        if (answer instanceof StoreResult.Ok<Listing<CrashRecord>>(Listing<CrashRecord> listing)) {
            for (StoredObject<CrashRecord> object : listing.objects()) {
                revision = Optional.of(object.revision());
                object.content().ifPresent(this::merge);
            }
        }
        return revision;
    }

    private void merge(CrashRecord record) {
        long now = clocks.steadyMillis();
        long elapsedMillis = Math.max(0, wallClock.millis() - record.writtenAtEpochMillis());
        int added = 0;
        for (CrashReport report : record.reports()) {
            added += crashHistory.merge(report.aged(elapsedMillis), now) ? 1 : 0;
        }
        if (added > 0) {
            log.write(EventLog.Component.STORE, "crashes-read", "requests", added, "written_ms_ago", elapsedMillis);
        }
    }

    private void write(StoreResult<Listing<CrashRecord>> listed) {
        Optional<StoreRevision> revision = mergeListing(listed);
        if (!(listed instanceof StoreResult.Ok<Listing<CrashRecord>>(Listing<CrashRecord> listing))) {
            retry("list");
            return;
        }
        ImmutableList<CrashReport> refused = ImmutableList.copyOf(crashHistory.refusedRequests(clocks.steadyMillis()));
        if (checking && refused.stream().allMatch(report -> isStored(report, listing))) {
            writeInFlight = false;
            return;
        }
        CrashRecord record = new CrashRecord(wallClock.millis(), refused);
        store.write(ObjectKind.CRASHES, OBJECT_NAME, revision, record, answer -> {
            if (answer instanceof StoreResult.Ok<StoredObject<CrashRecord>>) {
                writeInFlight = false;
                log.write(EventLog.Component.STORE, "crashes-written", "requests", refused.size());
            } else {
                retry("write");
            }
        });
    }

    private static boolean isStored(CrashReport report, Listing<CrashRecord> listing) {
        return listing.objects().stream()
                .flatMap(object -> object.content().stream())
                .flatMap(record -> record.reports().stream())
                .anyMatch(stored -> stored.subject().equals(report.subject())
                        && stored.ageMillisByCrash()
                                .keySet()
                                .containsAll(report.ageMillisByCrash().keySet())
                        && stored.survivorAgeMillisByCrash()
                                .keySet()
                                .containsAll(report.survivorAgeMillisByCrash().keySet()));
    }

    private void retry(String call) {
        writeInFlight = false;
        nextWriteAtMillis = clocks.steadyMillis() + RETRY_DELAY_MILLIS;
        if (checking) {
            checkAtMillis = Math.min(checkAtMillis, nextWriteAtMillis);
        } else {
            writePending = true;
        }
        log.write(EventLog.Component.STORE, "crashes-not-written", "call", call, "again_in_ms", RETRY_DELAY_MILLIS);
    }
}
