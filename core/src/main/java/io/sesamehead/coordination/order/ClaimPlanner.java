package io.sesamehead.coordination.order;

import io.sesamehead.coordination.request.InFlightTable.OpenCall;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.IdempotencyRecord;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.RunState;
import io.sesamehead.state.WriteToken;
import java.util.Optional;

/**
 * Decides how keyed calls proceed, so that each key is dispatched at most once. A call is dispatched only under a claim
 * that carries its own token, read back or confirmed by the object API, and only with an unused {@link ClaimTicket}. A
 * claim without a result stays claimed, also when its daemon has died.
 *
 * <p>Sequence: {@link #checkInFlight}, read the object, {@link #onRead}, write the claim, {@link #onClaimWritten}, possibly
 * {@link #onReadBack}, dispatch, {@link #recordResult}. Stateless apart from the tickets, therefore thread-safe.
 */
public final class ClaimPlanner {
    private final DaemonId daemon;
    private final Incarnation incarnation;

    /**
     * Creates the ledger of a daemon.
     *
     * @param daemon the daemon
     * @param incarnation its incarnation
     */
    public ClaimPlanner(DaemonId daemon, Incarnation incarnation) {
        this.daemon = daemon;
        this.incarnation = incarnation;
    }

    /**
     * Decides from this daemon's open calls alone, before the object is read.
     *
     * @param call the call
     * @param inFlight another open call of this daemon with the same object name, if any
     * @return the decision, or empty when the object must be read
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
     * @param ticket the call's ticket
     * @param read what was read
     * @param inFlight another open call of this daemon with the same object name, if any
     * @param settings settings of the service
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
     * @param ticket the call's ticket
     * @param written the claim and what became of its write
     * @param result what became of the write
     * @param settings settings of the service
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
     * Decides after the object was read back because the claim's write was ambiguous or met a conflict.
     *
     * @param ticket the call's ticket
     * @param read what was read
     * @param settings settings of the service
     * @return the decision; the claim is written again with the same token when the object is missing, so that a late
     *     first write and the second one cannot both count
     */
    public ClaimDecision onReadBack(ClaimTicket ticket, ClaimRead read, KeyedCallSettings settings) {
        return switch (read) {
            case ClaimRead.Missing ignored -> createClaim(ticket, Optional.empty());
            case ClaimRead.Found found -> onFound(ticket, found, settings);
            case ClaimRead.Unavailable ignored -> onStoreUnavailable(ticket, settings);
        };
    }

    /**
     * Decides after the upstream was asked about the key.
     *
     * @param answer its answer
     * @return the decision; never a dispatch, because the claimed call may still be on its way to the upstream
     */
    public ClaimDecision onKeyStatus(KeyStatus answer) {
        return switch (answer) {
            case KeyStatus.Done done -> new ClaimDecision.ReplayResult(done.result());
            case KeyStatus.Running ignored -> new ClaimDecision.AnswerClaimedElsewhere();
            case KeyStatus.UnknownKey ignored -> new ClaimDecision.AnswerClaimedElsewhere();
            case KeyStatus.Unavailable ignored -> new ClaimDecision.AnswerClaimedElsewhere();
        };
    }

    /**
     * Starts to record the result of a dispatched call.
     *
     * @param dispatched the claim under which it was dispatched
     * @param result the result
     * @param token token of this write
     * @return the write; a result that may have run is not recorded, so that the key stays claimed
     */
    public ResultDecision recordResult(
            ClaimDecision.Dispatch dispatched, IdempotencyRecord.Result result, WriteToken token) {
        if (result.runState() == RunState.MAY_HAVE_RUN) {
            return new ResultDecision.GiveUp();
        }
        return write(dispatched.claim(), dispatched.version(), result, token);
    }

    /**
     * Frees a key that a withdrawn ticket claimed without a dispatch, by recording that the call was not run. Without
     * this the key would stay claimed although its caller was told to come back.
     *
     * @param ticket the withdrawn ticket
     * @param read the object as read after the withdrawal
     * @param recordedEpochMillis wall-clock time of the record, in milliseconds since 1970
     * @param token token of this write
     * @return the write, or empty when the object does not hold this ticket's claim
     * @throws IllegalStateException if the ticket was not withdrawn
     */
    public Optional<ResultDecision.Write> releaseUndispatched(
            ClaimTicket ticket, ClaimRead read, long recordedEpochMillis, WriteToken token) {
        if (!ticket.withdrawn()) {
            throw new IllegalStateException("the ticket was not withdrawn");
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
     * @param result what became of it
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
     * Decides after the object was read back because a result's write was ambiguous or met a conflict.
     *
     * @param write the write in doubt
     * @param read what was read
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

    /** A call that was recorded as not run may be claimed again, by a write conditional on that record. */
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

    /** The ticket is used up either way, so that a claim found later under its token is not dispatched. */
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
