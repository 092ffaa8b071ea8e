package io.sesamehead.coordination.order;

import io.sesamehead.coordination.request.InFlightTable.OpenCall;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.IdempotencyRecord;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.RunState;
import io.sesamehead.state.WriteToken;
import java.util.Optional;

/**
 * Decides the next step of keyed calls, so that each key is dispatched at most once. A call is dispatched only with an
 * unused {@link ClaimTicket} and under a claim with its own token that the object API confirmed or returned on a read.
 * The exception is a service that itself refuses repeated keys: during a store outage, its calls are dispatched without
 * a claim. A key without a recorded result stays claimed, even after the daemon that claimed it has failed.
 *
 * <p>Sequence: {@link #checkInFlight}, read the object, {@link #onRead}, write the claim, {@link #onClaimWritten},
 * possibly {@link #onReadBack}, dispatch, {@link #recordResult}. Thread-safe, because the only mutable state is in the
 * tickets.
 */
public final class ClaimPlanner {
    private final DaemonId daemon;
    private final Incarnation incarnation;

    /**
     * Creates the planner of a daemon.
     *
     * @param daemon the daemon
     * @param incarnation its incarnation
     */
    public ClaimPlanner(DaemonId daemon, Incarnation incarnation) {
        this.daemon = daemon;
        this.incarnation = incarnation;
    }

    /**
     * Decides from the open calls of this daemon, before the object is read.
     *
     * @param call the call
     * @param inFlight another open call of this daemon with the same object name, if any
     * @return the decision, or empty if the object must be read
     */
    public Optional<ClaimDecision> checkInFlight(KeyedCall call, Optional<OpenCall> inFlight) {
        return inFlight.filter(open -> !open.request().equals(call.request())).map(open -> {
            boolean same = open.fingerprint().equals(call.fingerprint());
            return same ? new ClaimDecision.JoinInFlight(open.request()) : new ClaimDecision.AnswerKeyReused();
        });
    }

    /**
     * Decides after the first read of the object.
     *
     * @param ticket ticket of the call
     * @param read result of the read
     * @param inFlight another open call of this daemon with the same object name, if any
     * @param settings settings of the service for keyed calls
     * @return the decision
     */
    public ClaimDecision onRead(
            ClaimTicket ticket, ClaimRead read, Optional<OpenCall> inFlight, KeyedCallSettings settings) {
        KeyedCall call = ticket.call();
        Optional<ClaimDecision> joined = checkInFlight(call, inFlight);
        if (joined.isPresent()) {
            return joined.get();
        }
        return switch (read) {
            case ClaimRead.Missing ignored -> createClaim(ticket, Optional.empty());
            case ClaimRead.Found found -> onFound(ticket, found, settings);
            case ClaimRead.Unavailable ignored -> onStoreUnavailable(ticket, settings);
        };
    }

    /**
     * Decides after the claim was written.
     *
     * @param ticket ticket of the call
     * @param written the claim that was written
     * @param result result of the write
     * @param settings settings of the service for keyed calls
     * @return the decision
     */
    public ClaimDecision onClaimWritten(
            ClaimTicket ticket, ClaimDecision.WriteClaim written, ClaimWrite result, KeyedCallSettings settings) {
        return switch (result) {
            case ClaimWrite.Written done -> dispatch(ticket, written.claim(), done.version());
            case ClaimWrite.Conflict ignored -> new ClaimDecision.ReadBack(written.objectName());
            case ClaimWrite.Ambiguous ignored -> new ClaimDecision.ReadBack(written.objectName());
            case ClaimWrite.Unavailable ignored -> onStoreUnavailable(ticket, settings);
        };
    }

    /**
     * Decides after the object was read back because the write of the claim was ambiguous or conflicted.
     *
     * @param ticket ticket of the call
     * @param read result of the read
     * @param settings settings of the service for keyed calls
     * @return the decision; if the object is missing, the claim is written again with the same token, so that a delayed
     *     first write and the second one cannot result in two claims
     */
    public ClaimDecision onReadBack(ClaimTicket ticket, ClaimRead read, KeyedCallSettings settings) {
        return switch (read) {
            case ClaimRead.Missing ignored -> createClaim(ticket, Optional.empty());
            case ClaimRead.Found found -> onFound(ticket, found, settings);
            case ClaimRead.Unavailable ignored -> onStoreUnavailable(ticket, settings);
        };
    }

    /**
     * Decides after the status of the key was queried from the upstream.
     *
     * @param status status of the key
     * @return the decision; never a dispatch, because the claimed call may still be in flight to the upstream
     */
    public ClaimDecision onKeyStatus(KeyStatus status) {
        return switch (status) {
            case KeyStatus.Done done -> new ClaimDecision.ReplayResult(done.result());
            case KeyStatus.Running ignored -> new ClaimDecision.AnswerClaimedElsewhere();
            case KeyStatus.UnknownKey ignored -> new ClaimDecision.AnswerClaimedElsewhere();
            case KeyStatus.Unavailable ignored -> new ClaimDecision.AnswerClaimedElsewhere();
        };
    }

    /**
     * Returns the write that records the result of a dispatched call.
     *
     * @param dispatched the claim under which the call was dispatched
     * @param result the result
     * @param token token of this write
     * @return the write, or {@link ResultDecision.GiveUp} for a may-have-run result, so that the key stays claimed
     */
    public ResultDecision recordResult(
            ClaimDecision.Dispatch dispatched, IdempotencyRecord.Result result, WriteToken token) {
        if (result.runState() == RunState.MAY_HAVE_RUN) {
            return new ResultDecision.GiveUp();
        }
        return write(dispatched.claim(), dispatched.version(), result, token);
    }

    /**
     * Releases a key that was claimed under a withdrawn ticket but never dispatched, by recording that the call was not
     * run. Without this, the key would stay claimed although its caller was advised to retry.
     *
     * @param ticket the withdrawn ticket
     * @param read the object as read after the withdrawal
     * @param recordedEpochMillis wall-clock time of the record, in milliseconds since 1970
     * @param token token of this write
     * @return the write, or empty if the object does not contain the claim of this ticket
     * @throws IllegalStateException if the ticket was not withdrawn
     */
    public Optional<ResultDecision.Write> releaseUndispatched(
            ClaimTicket ticket, ClaimRead read, long recordedEpochMillis, WriteToken token) {
        if (!ticket.withdrawn()) {
            throw new IllegalStateException("the ticket must be withdrawn before its claim is released");
        }
        if (read instanceof ClaimRead.Found found && found.record().token().equals(ticket.token())) {
            IdempotencyRecord.Result notRun =
                    new IdempotencyRecord.Result(RunState.NOT_RUN, 0, "", "", recordedEpochMillis);
            return Optional.of(write(found.record(), found.version(), notRun, token));
        }
        return Optional.empty();
    }

    /**
     * Decides after a result was written.
     *
     * @param write the write
     * @param result result of the write
     * @return the next step
     */
    public ResultDecision onResultWritten(ResultDecision.Write write, ClaimWrite result) {
        return switch (result) {
            case ClaimWrite.Written ignored -> new ResultDecision.Recorded();
            case ClaimWrite.Conflict ignored -> new ResultDecision.ReadBack(write);
            case ClaimWrite.Ambiguous ignored -> new ResultDecision.ReadBack(write);
            case ClaimWrite.Unavailable ignored -> new ResultDecision.RetryLater(write);
        };
    }

    /**
     * Decides after the object was read back because the write of a result was ambiguous or conflicted.
     *
     * @param write the unresolved write
     * @param read result of the read
     * @return the next step
     */
    public ResultDecision onResultReadBack(ResultDecision.Write write, ClaimRead read) {
        return switch (read) {
            case ClaimRead.Missing ignored -> new ResultDecision.GiveUp();
            case ClaimRead.Unavailable ignored -> new ResultDecision.ReadBack(write);
            case ClaimRead.Found found
            when found.record().token().equals(write.record().token()) -> new ResultDecision.Recorded();
            case ClaimRead.Found found when found.version().equals(write.version()) -> write;
            case ClaimRead.Found ignored -> new ResultDecision.GiveUp();
        };
    }

    private ClaimDecision onFound(ClaimTicket ticket, ClaimRead.Found found, KeyedCallSettings settings) {
        IdempotencyRecord record = found.record();
        if (record.token().equals(ticket.token())) {
            return dispatch(ticket, record, found.version());
        }
        if (!record.bodyFingerprint().equals(ticket.call().fingerprint().value())) {
            return new ClaimDecision.AnswerKeyReused();
        }
        if (record.result().isPresent()) {
            return onRecorded(ticket, record.result().get(), found.version());
        }
        return settings.asksByKey()
                ? new ClaimDecision.QueryUpstream(record.key(), record.token())
                : new ClaimDecision.AnswerClaimedElsewhere();
    }

    /** A call that was recorded as not run may be claimed again, with a write conditional on the recorded version. */
    private ClaimDecision onRecorded(ClaimTicket ticket, IdempotencyRecord.Result result, String version) {
        return result.runState() == RunState.NOT_RUN
                ? createClaim(ticket, Optional.of(version))
                : new ClaimDecision.ReplayResult(result);
    }

    private ClaimDecision createClaim(ClaimTicket ticket, Optional<String> replaces) {
        KeyedCall call = ticket.call();
        IdempotencyRecord claim = new IdempotencyRecord(
                call.service(),
                call.account(),
                call.key(),
                call.fingerprint().value(),
                daemon,
                incarnation,
                ticket.token(),
                Optional.empty());
        return new ClaimDecision.WriteClaim(call.objectName(), claim, replaces);
    }

    private ClaimDecision dispatch(ClaimTicket ticket, IdempotencyRecord claim, String version) {
        return ticket.tryDispatch()
                ? new ClaimDecision.Dispatch(claim, version)
                : new ClaimDecision.AnswerClaimedElsewhere();
    }

    /**
     * The ticket is used or withdrawn in either case, so that a claim found later under its token is not dispatched.
     */
    private ClaimDecision onStoreUnavailable(ClaimTicket ticket, KeyedCallSettings settings) {
        boolean unused = settings.refusesRepeats() ? ticket.tryDispatch() : ticket.withdraw();
        if (!unused) {
            return new ClaimDecision.AnswerClaimedElsewhere();
        }
        return settings.refusesRepeats()
                ? new ClaimDecision.DispatchWithoutClaim()
                : new ClaimDecision.AnswerStoreUnavailable();
    }

    private static ResultDecision.Write write(
            IdempotencyRecord claim, String version, IdempotencyRecord.Result result, WriteToken token) {
        IdempotencyRecord record = new IdempotencyRecord(
                claim.service(),
                claim.account(),
                claim.key(),
                claim.bodyFingerprint(),
                claim.claimedBy(),
                claim.claimant(),
                token,
                Optional.of(result));
        return new ResultDecision.Write(objectName(claim), record, version);
    }

    private static String objectName(IdempotencyRecord record) {
        return KeyedCall.objectName(record.service(), record.account(), record.key());
    }
}
