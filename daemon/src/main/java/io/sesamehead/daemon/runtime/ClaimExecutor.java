package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.order.ClaimRead;
import io.sesamehead.coordination.order.ClaimTicket;
import io.sesamehead.coordination.order.ClaimWrite;
import io.sesamehead.coordination.order.KeyStatus;
import io.sesamehead.coordination.order.ClaimDecision;
import io.sesamehead.coordination.order.ClaimPlanner;
import io.sesamehead.coordination.order.KeyedCallSettings;
import io.sesamehead.coordination.order.ResultDecision;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.IdempotencyRecordCodec;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.IdempotencyRecord;
import io.sesamehead.state.WriteToken;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.tinylog.Logger;

/** Carries out the decisions of {@link ClaimPlanner} on the object API. */
public final class ClaimExecutor {
    /** Store calls for one claim; more means that the store answers in a way that the ledger cannot settle. */
    private static final int MAX_STEPS = 12;

    private static final int MAX_RECORD_STEPS = 20;
    private static final long RETRY_MILLIS = 500;

    private final ClaimPlanner planner;
    private final PlatformClient platform;
    private final Supplier<WriteToken> tokens;
    private final LongSupplier nowMillis;
    private final LongSupplier epochMillis;

    /**
     * Creates an executor of claims.
     *
     * @param planner decides
     * @param platform client of the object API
     * @param tokens tokens of this process's writes
     * @param nowMillis monotonic clock, in milliseconds
     * @param epochMillis wall clock, in milliseconds since 1970
     */
    public ClaimExecutor(
            ClaimPlanner planner,
            PlatformClient platform,
            Supplier<WriteToken> tokens,
            LongSupplier nowMillis,
            LongSupplier epochMillis) {
        this.planner = planner;
        this.platform = platform;
        this.tokens = tokens;
        this.nowMillis = nowMillis;
        this.epochMillis = epochMillis;
    }

    /**
     * Claims a key or finds out how the call is to be answered.
     *
     * @param ticket the call's ticket
     * @param settings settings of the service
     * @param upstream asks the upstream about a key
     * @param deadlineMillis deadline of the call on the monotonic clock, in milliseconds
     * @return a final decision, or empty when the deadline passed and the ticket is still open
     */
    Optional<ClaimDecision> claim(
            ClaimTicket ticket, KeyedCallSettings settings, Function<String, KeyStatus> upstream, long deadlineMillis) {
        ClaimDecision decision = planner.onRead(ticket, read(ticket.call().objectName()), Optional.empty(), settings);
        for (int step = 0; step < MAX_STEPS && nowMillis.getAsLong() < deadlineMillis; step++) {
            switch (decision) {
                case ClaimDecision.WriteClaim writeClaim ->
                    decision = planner.onClaimWritten(ticket, writeClaim, write(writeClaim), settings);
                case ClaimDecision.ReadBack(String name) -> decision = planner.onReadBack(ticket, read(name), settings);
                case ClaimDecision.QueryUpstream query -> decision = planner.onKeyStatus(upstream.apply(query.key()));
                default -> {
                    return Optional.of(decision);
                }
            }
        }
        return isFinal(decision) ? Optional.of(decision) : Optional.empty();
    }

    /**
     * Records the result of a dispatched call. Returns after the first write was answered; a write that the store does
     * not take is repeated in the background.
     *
     * @param dispatch the claim under which the call was dispatched
     * @param result the result
     */
    void record(ClaimDecision.Dispatch dispatch, IdempotencyRecord.Result result) {
        ResultDecision first = planner.recordResult(dispatch, result, tokens.get());
        if (!(first instanceof ResultDecision.Write write)) {
            return;
        }
        ResultDecision next = planner.onResultWritten(write, write(write));
        if (!(next instanceof ResultDecision.Recorded)) {
            Thread.startVirtualThread(() -> finishRecording(next));
        }
    }

    /**
     * Frees, in the background, a key whose claim was written but not dispatched.
     *
     * @param ticket the withdrawn ticket
     */
    void releaseLater(ClaimTicket ticket) {
        Thread.startVirtualThread(() -> {
            for (int step = 0; step < MAX_RECORD_STEPS; step++) {
                ClaimRead read = read(ticket.call().objectName());
                if (!(read instanceof ClaimRead.Unavailable)) {
                    planner.releaseUndispatched(ticket, read, epochMillis.getAsLong(), tokens.get())
                            .ifPresent(this::finishRecording);
                    return;
                }
                pause();
            }
            Logger.warn(
                    "order: the key of request {} stays claimed", ticket.call().request());
        });
    }

    private void finishRecording(ResultDecision start) {
        ResultDecision decision = start;
        for (int step = 0; step < MAX_RECORD_STEPS; step++) {
            switch (decision) {
                case ResultDecision.Write write -> decision = planner.onResultWritten(write, write(write));
                case ResultDecision.ReadBack readBack -> {
                    pause();
                    decision = planner.onResultReadBack(
                            readBack.write(), read(readBack.write().objectName()));
                }
                case ResultDecision.RetryLater retry -> {
                    pause();
                    decision = retry.write();
                }
                case ResultDecision.Recorded ignored -> {
                    return;
                }
                case ResultDecision.GiveUp ignored -> {
                    return;
                }
            }
        }
        Logger.warn("order: a result could not be recorded; its key stays claimed");
    }

    private static boolean isFinal(ClaimDecision decision) {
        return switch (decision) {
            case ClaimDecision.WriteClaim ignored -> false;
            case ClaimDecision.ReadBack ignored -> false;
            case ClaimDecision.QueryUpstream ignored -> false;
            default -> true;
        };
    }

    private ClaimRead read(String name) {
        return switch (platform.read(ObjectKinds.ORDERS, name)) {
            case StoreResult.Ok<PlatformObject>(PlatformObject object) -> decode(object);
            case StoreResult.NotFound<PlatformObject> ignored -> new ClaimRead.Missing();
            default -> new ClaimRead.Unavailable();
        };
    }

    /** An order that cannot be read may be a claim, so it counts as not answered. */
    private static ClaimRead decode(PlatformObject object) {
        try {
            return new ClaimRead.Found(IdempotencyRecordCodec.decode(object.spec()), object.resourceVersion());
        } catch (MalformedMessageException e) {
            Logger.error("order: object {} is unreadable: {}", object.name(), e.getMessage());
            return new ClaimRead.Unavailable();
        }
    }

    private ClaimWrite write(ClaimDecision.WriteClaim writeClaim) {
        if (writeClaim.expectedVersion().isEmpty()) {
            return toClaimWrite(platform.create(ObjectKinds.ORDERS, writeClaim.objectName(), IdempotencyRecordCodec.encode(writeClaim.claim())));
        }
        return update(writeClaim.objectName(), writeClaim.claim(), writeClaim.expectedVersion().get());
    }

    private ClaimWrite write(ResultDecision.Write write) {
        return update(write.objectName(), write.record(), write.version());
    }

    private ClaimWrite update(String name, IdempotencyRecord record, String version) {
        return toClaimWrite(platform.update(new PlatformObject(ObjectKinds.ORDERS, name, version, IdempotencyRecordCodec.encode(record))));
    }

    private static ClaimWrite toClaimWrite(StoreResult<PlatformObject> result) {
        return switch (result) {
            case StoreResult.Ok<PlatformObject>(PlatformObject object) ->
                new ClaimWrite.Written(object.resourceVersion());
            case StoreResult.Conflict<PlatformObject> ignored -> new ClaimWrite.Conflict();
            case StoreResult.AlreadyExists<PlatformObject> ignored -> new ClaimWrite.Conflict();
            case StoreResult.NotFound<PlatformObject> ignored -> new ClaimWrite.Conflict();
            case StoreResult.Ambiguous<PlatformObject> ignored -> new ClaimWrite.Ambiguous();
            case StoreResult.RateLimited<PlatformObject> ignored -> new ClaimWrite.Unavailable();
            case StoreResult.Unavailable<PlatformObject> ignored -> new ClaimWrite.Unavailable();
            case StoreResult.Rejected<PlatformObject> ignored -> new ClaimWrite.Unavailable();
        };
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
