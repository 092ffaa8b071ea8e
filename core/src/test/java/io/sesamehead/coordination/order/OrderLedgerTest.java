package io.sesamehead.coordination.order;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.order.OrderDecision.CreateClaim;
import io.sesamehead.coordination.order.OrderDecision.Dispatch;
import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.coordination.request.InFlightTable.OpenCall;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.OrderRecord;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.RunState;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.WriteToken;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class OrderLedgerTest {
    private static final OrderSettings PLAIN = new OrderSettings(false, false);
    private static final OrderSettings ASKS = new OrderSettings(true, false);
    private static final OrderSettings REFUSES = new OrderSettings(false, true);
    private static final ClaimRead MISSING = new ClaimRead.Missing();
    private static final OrderRecord.Result RAN = new OrderRecord.Result(RunState.RAN, 200, "text/plain", "done", 0);
    private static final OrderRecord.Result NOT_RUN = new OrderRecord.Result(RunState.NOT_RUN, 0, "", "", 0);

    private final OrderLedger ledger = new OrderLedger(new DaemonId("d1"), new Incarnation(1));

    private static ClaimTicket ticket(String request, String body, long sequence) {
        OrderCall call = new OrderCall(
                new RequestId(request),
                new ServiceName("orders"),
                new ClientAccount("shop"),
                "key",
                Fingerprint.of("POST", body, new byte[0]));
        return new ClaimTicket(call, new WriteToken(new Incarnation(1), sequence));
    }

    private OrderDecision read(ClaimTicket ticket, ClaimRead read, OrderSettings settings) {
        return ledger.onRead(ticket, read, Optional.empty(), settings);
    }

    private CreateClaim claim(ClaimTicket ticket) {
        return (CreateClaim) read(ticket, MISSING, PLAIN);
    }

    private Dispatch dispatch(ClaimTicket ticket) {
        return (Dispatch) ledger.onClaimWritten(ticket, claim(ticket), new ClaimWrite.Written("7"), PLAIN);
    }

    private ClaimRead found(OrderRecord order) {
        return new ClaimRead.Found(order, "7");
    }

    private OrderRecord recorded(OrderRecord.Result result) {
        ResultDecision decision =
                ledger.record(dispatch(ticket("old", "x", 1)), result, new WriteToken(new Incarnation(1), 2));
        return ((ResultDecision.Write) decision).order();
    }

    /** Guards against a second dispatch after an ambiguous write that took effect. */
    @Test
    void ambiguousClaimIsDispatchedOnceAfterReadBack() {
        ClaimTicket ticket = ticket("r", "x", 1);
        CreateClaim claim = claim(ticket);
        assertThat(claim.replaces()).isEmpty();

        assertThat(ledger.onClaimWritten(ticket, claim, new ClaimWrite.Ambiguous(), PLAIN))
                .isEqualTo(new OrderDecision.ReadBack(claim.objectName()));
        assertThat(ledger.onReadBack(ticket, found(claim.claim()), PLAIN)).isEqualTo(new Dispatch(claim.claim(), "7"));
        assertThat(ledger.onReadBack(ticket, found(claim.claim()), PLAIN))
                .isEqualTo(new OrderDecision.AnswerClaimedElsewhere());
    }

    /** Guards against two claims when a lost write lands after the read-back. */
    @Test
    void missingClaimIsWrittenAgainWithTheSameToken() {
        ClaimTicket ticket = ticket("r", "x", 1);

        assertThat(ledger.onReadBack(ticket, MISSING, PLAIN)).isEqualTo(claim(ticket));
    }

    @Test
    void claimOfAnotherDaemonStaysClaimed() {
        OrderRecord other = claim(ticket("other", "x", 9)).claim();
        ClaimTicket ticket = ticket("r", "x", 1);

        assertThat(read(ticket, found(other), PLAIN)).isEqualTo(new OrderDecision.AnswerClaimedElsewhere());
        assertThat(read(ticket, found(other), REFUSES)).isEqualTo(new OrderDecision.AnswerClaimedElsewhere());
        assertThat(read(ticket, found(other), ASKS)).isEqualTo(new OrderDecision.AskUpstream("key", other.token()));
        assertThat(read(ticket("r", "y", 1), found(other), ASKS)).isEqualTo(new OrderDecision.AnswerKeyReused());
        assertThat(ledger.onUpstreamAnswer(new KeyAnswer.NeverSeen()))
                .isEqualTo(new OrderDecision.AnswerClaimedElsewhere());
        assertThat(ledger.onUpstreamAnswer(new KeyAnswer.Done(RAN))).isEqualTo(new OrderDecision.ReplayResult(RAN));
    }

    @Test
    void recordedResultIsReplayedAndNotRunIsClaimedAgain() {
        assertThat(read(ticket("r", "x", 3), found(recorded(RAN)), PLAIN))
                .isEqualTo(new OrderDecision.ReplayResult(RAN));
        assertThat(read(ticket("r", "x", 3), found(recorded(NOT_RUN)), PLAIN))
                .isInstanceOfSatisfying(
                        CreateClaim.class, claim -> assertThat(claim.replaces()).hasValue("7"));
    }

    /** Guards against a dispatch without a claim while the store is down. */
    @Test
    void storeOutageIsAnsweredUnlessTheUpstreamRefusesRepeats() {
        ClaimRead down = new ClaimRead.Unavailable();
        ClaimTicket ticket = ticket("r", "x", 1);
        OrderRecord claim = claim(ticket).claim();

        assertThat(read(ticket, down, PLAIN)).isEqualTo(new OrderDecision.AnswerStoreUnavailable());
        assertThat(ledger.onReadBack(ticket, found(claim), PLAIN))
                .isEqualTo(new OrderDecision.AnswerClaimedElsewhere());
        ClaimTicket refuses = ticket("r", "x", 2);
        assertThat(read(refuses, down, REFUSES)).isEqualTo(new OrderDecision.DispatchWithoutClaim());
        assertThat(refuses.withdraw()).isFalse();
    }

    /** Guards against a key that stays claimed although its caller was told not-run. */
    @Test
    void undispatchedClaimIsReleasedByItsOwnerOnly() {
        ClaimTicket ticket = ticket("r", "x", 1);
        OrderRecord claim = claim(ticket).claim();
        assertThat(ticket.withdraw()).isTrue();
        WriteToken token = new WriteToken(new Incarnation(1), 5);

        assertThat(ledger.releaseUndispatched(ticket, found(claim), 0, token)).hasValueSatisfying(write -> {
            assertThat(write.order().result()).hasValue(NOT_RUN);
            assertThat(write.version()).isEqualTo("7");
        });
        OrderRecord other = claim(ticket("other", "x", 9)).claim();
        assertThat(ledger.releaseUndispatched(ticket, found(other), 0, token)).isEmpty();
    }

    @Test
    void openCallWithTheSameKeyIsJoined() {
        OrderCall holder = ticket("holder", "x", 1).call();
        Optional<OpenCall> open = Optional.of(new OpenCall(
                holder.request(),
                holder.account(),
                holder.service(),
                Optional.of(holder.objectName()),
                holder.fingerprint(),
                0));

        assertThat(ledger.onRead(ticket("r", "x", 2), MISSING, open, PLAIN))
                .isEqualTo(new OrderDecision.JoinInFlight(holder.request()));
        assertThat(ledger.onRead(ticket("r", "y", 2), MISSING, open, PLAIN))
                .isEqualTo(new OrderDecision.AnswerKeyReused());
    }

    /** Guards against a result that is lost, overwritten, or recorded although it is not known. */
    @Test
    void resultIsWrittenConditionallyAndResolvedByToken() {
        Dispatch dispatched = dispatch(ticket("r", "x", 1));
        WriteToken token = new WriteToken(new Incarnation(1), 2);
        ResultDecision.Write write = (ResultDecision.Write) ledger.record(dispatched, RAN, token);
        assertThat(write.version()).isEqualTo("7");
        assertThat(write.objectName()).isEqualTo(claim(ticket("r", "x", 1)).objectName());

        assertThat(ledger.onResultWritten(write, new ClaimWrite.Ambiguous()))
                .isEqualTo(new ResultDecision.ReadBack(write));
        assertThat(ledger.onResultReadBack(write, new ClaimRead.Found(write.order(), "8")))
                .isEqualTo(new ResultDecision.Recorded());
        assertThat(ledger.onResultReadBack(write, found(dispatched.claim()))).isEqualTo(write);
        assertThat(ledger.onResultReadBack(write, new ClaimRead.Found(dispatched.claim(), "9")))
                .isEqualTo(new ResultDecision.GiveUp());
        OrderRecord.Result unknown = new OrderRecord.Result(RunState.MAY_HAVE_RUN, 0, "", "", 0);
        assertThat(ledger.record(dispatched, unknown, token)).isEqualTo(new ResultDecision.GiveUp());
    }
}
