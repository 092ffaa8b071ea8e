package io.sesamehead.coordination.order;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.order.ClaimDecision.WriteClaim;
import io.sesamehead.coordination.order.ClaimDecision.Dispatch;
import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.coordination.request.InFlightTable.OpenCall;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.IdempotencyRecord;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.RunState;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.WriteToken;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class OrderLedgerTest {
    private static final KeyedCallSettings PLAIN = new KeyedCallSettings(false, false);
    private static final KeyedCallSettings ASKS = new KeyedCallSettings(true, false);
    private static final KeyedCallSettings REFUSES = new KeyedCallSettings(false, true);
    private static final ClaimRead MISSING = new ClaimRead.Missing();
    private static final IdempotencyRecord.Result RAN = new IdempotencyRecord.Result(RunState.RAN, 200, "text/plain", "done", 0);
    private static final IdempotencyRecord.Result NOT_RUN = new IdempotencyRecord.Result(RunState.NOT_RUN, 0, "", "", 0);

    private final ClaimPlanner ledger = new ClaimPlanner(new DaemonId("d1"), new Incarnation(1));

    private static ClaimTicket ticket(String request, String body, long sequence) {
        KeyedCall call = new KeyedCall(
                new RequestId(request),
                new ServiceName("orders"),
                new ClientAccount("shop"),
                "key",
                Fingerprint.of("POST", body, new byte[0]));
        return new ClaimTicket(call, new WriteToken(new Incarnation(1), sequence));
    }

    private ClaimDecision read(ClaimTicket ticket, ClaimRead read, KeyedCallSettings settings) {
        return ledger.onRead(ticket, read, Optional.empty(), settings);
    }

    private WriteClaim claim(ClaimTicket ticket) {
        return (WriteClaim) read(ticket, MISSING, PLAIN);
    }

    private Dispatch dispatch(ClaimTicket ticket) {
        return (Dispatch) ledger.onClaimWritten(ticket, claim(ticket), new ClaimWrite.Written("7"), PLAIN);
    }

    private ClaimRead found(IdempotencyRecord order) {
        return new ClaimRead.Found(order, "7");
    }

    private IdempotencyRecord recorded(IdempotencyRecord.Result result) {
        ResultDecision decision =
                ledger.recordResult(dispatch(ticket("old", "x", 1)), result, new WriteToken(new Incarnation(1), 2));
        return ((ResultDecision.Write) decision).order();
    }

    /** Guards against a second dispatch after an ambiguous write that took effect. */
    @Test
    void ambiguousClaimIsDispatchedOnceAfterReadBack() {
        ClaimTicket ticket = ticket("r", "x", 1);
        WriteClaim claim = claim(ticket);
        assertThat(claim.expectedVersion()).isEmpty();

        assertThat(ledger.onClaimWritten(ticket, claim, new ClaimWrite.Ambiguous(), PLAIN))
                .isEqualTo(new ClaimDecision.ReadBack(claim.objectName()));
        assertThat(ledger.onReadBack(ticket, found(claim.claim()), PLAIN)).isEqualTo(new Dispatch(claim.claim(), "7"));
        assertThat(ledger.onReadBack(ticket, found(claim.claim()), PLAIN))
                .isEqualTo(new ClaimDecision.AnswerClaimedElsewhere());
    }

    /** Guards against two claims when a lost write lands after the read-back. */
    @Test
    void missingClaimIsWrittenAgainWithTheSameToken() {
        ClaimTicket ticket = ticket("r", "x", 1);

        assertThat(ledger.onReadBack(ticket, MISSING, PLAIN)).isEqualTo(claim(ticket));
    }

    @Test
    void claimOfAnotherDaemonStaysClaimed() {
        IdempotencyRecord other = claim(ticket("other", "x", 9)).claim();
        ClaimTicket ticket = ticket("r", "x", 1);

        assertThat(read(ticket, found(other), PLAIN)).isEqualTo(new ClaimDecision.AnswerClaimedElsewhere());
        assertThat(read(ticket, found(other), REFUSES)).isEqualTo(new ClaimDecision.AnswerClaimedElsewhere());
        assertThat(read(ticket, found(other), ASKS)).isEqualTo(new ClaimDecision.QueryUpstream("key", other.token()));
        assertThat(read(ticket("r", "y", 1), found(other), ASKS)).isEqualTo(new ClaimDecision.AnswerKeyReused());
        assertThat(ledger.onKeyStatus(new KeyStatus.UnknownKey()))
                .isEqualTo(new ClaimDecision.AnswerClaimedElsewhere());
        assertThat(ledger.onKeyStatus(new KeyStatus.Done(RAN))).isEqualTo(new ClaimDecision.ReplayResult(RAN));
    }

    @Test
    void recordedResultIsReplayedAndNotRunIsClaimedAgain() {
        assertThat(read(ticket("r", "x", 3), found(recorded(RAN)), PLAIN))
                .isEqualTo(new ClaimDecision.ReplayResult(RAN));
        assertThat(read(ticket("r", "x", 3), found(recorded(NOT_RUN)), PLAIN))
                .isInstanceOfSatisfying(
                        WriteClaim.class, claim -> assertThat(claim.expectedVersion()).hasValue("7"));
    }

    /** Guards against a dispatch without a claim while the store is down. */
    @Test
    void storeOutageIsAnsweredUnlessTheUpstreamRefusesRepeats() {
        ClaimRead down = new ClaimRead.Unavailable();
        ClaimTicket ticket = ticket("r", "x", 1);
        IdempotencyRecord claim = claim(ticket).claim();

        assertThat(read(ticket, down, PLAIN)).isEqualTo(new ClaimDecision.AnswerStoreUnavailable());
        assertThat(ledger.onReadBack(ticket, found(claim), PLAIN))
                .isEqualTo(new ClaimDecision.AnswerClaimedElsewhere());
        ClaimTicket refuses = ticket("r", "x", 2);
        assertThat(read(refuses, down, REFUSES)).isEqualTo(new ClaimDecision.DispatchWithoutClaim());
        assertThat(refuses.withdraw()).isFalse();
    }

    /** Guards against a key that stays claimed although its caller was told not-run. */
    @Test
    void undispatchedClaimIsReleasedByItsOwnerOnly() {
        ClaimTicket ticket = ticket("r", "x", 1);
        IdempotencyRecord claim = claim(ticket).claim();
        assertThat(ticket.withdraw()).isTrue();
        WriteToken token = new WriteToken(new Incarnation(1), 5);

        assertThat(ledger.releaseUndispatched(ticket, found(claim), 0, token)).hasValueSatisfying(write -> {
            assertThat(write.order().result()).hasValue(NOT_RUN);
            assertThat(write.version()).isEqualTo("7");
        });
        IdempotencyRecord other = claim(ticket("other", "x", 9)).claim();
        assertThat(ledger.releaseUndispatched(ticket, found(other), 0, token)).isEmpty();
    }

    @Test
    void openCallWithTheSameKeyIsJoined() {
        KeyedCall holder = ticket("holder", "x", 1).call();
        Optional<OpenCall> open = Optional.of(new OpenCall(
                holder.request(),
                holder.account(),
                holder.service(),
                Optional.of(holder.objectName()),
                holder.fingerprint(),
                0));

        assertThat(ledger.onRead(ticket("r", "x", 2), MISSING, open, PLAIN))
                .isEqualTo(new ClaimDecision.JoinInFlight(holder.request()));
        assertThat(ledger.onRead(ticket("r", "y", 2), MISSING, open, PLAIN))
                .isEqualTo(new ClaimDecision.AnswerKeyReused());
    }

    /** Guards against a result that is lost, overwritten, or recorded although it is not known. */
    @Test
    void resultIsWrittenConditionallyAndResolvedByToken() {
        Dispatch dispatched = dispatch(ticket("r", "x", 1));
        WriteToken token = new WriteToken(new Incarnation(1), 2);
        ResultDecision.Write write = (ResultDecision.Write) ledger.recordResult(dispatched, RAN, token);
        assertThat(write.version()).isEqualTo("7");
        assertThat(write.objectName()).isEqualTo(claim(ticket("r", "x", 1)).objectName());

        assertThat(ledger.onResultWritten(write, new ClaimWrite.Ambiguous()))
                .isEqualTo(new ResultDecision.ReadBack(write));
        assertThat(ledger.onResultReadBack(write, new ClaimRead.Found(write.order(), "8")))
                .isEqualTo(new ResultDecision.Recorded());
        assertThat(ledger.onResultReadBack(write, found(dispatched.claim()))).isEqualTo(write);
        assertThat(ledger.onResultReadBack(write, new ClaimRead.Found(dispatched.claim(), "9")))
                .isEqualTo(new ResultDecision.GiveUp());
        IdempotencyRecord.Result unknown = new IdempotencyRecord.Result(RunState.MAY_HAVE_RUN, 0, "", "", 0);
        assertThat(ledger.recordResult(dispatched, unknown, token)).isEqualTo(new ResultDecision.GiveUp());
    }
}
