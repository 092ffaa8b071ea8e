package io.sesamehead.coordination.order;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.order.ClaimDecision.Dispatch;
import io.sesamehead.coordination.order.ClaimDecision.WriteClaim;
import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.coordination.request.InFlightTable.OpenCall;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.IdempotencyRecord;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.RunState;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.WriteToken;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ClaimPlannerTest {
    private static final KeyedCallSettings NO_KEY_SUPPORT = new KeyedCallSettings(false, false);
    private static final KeyedCallSettings KEY_QUERY = new KeyedCallSettings(true, false);
    private static final KeyedCallSettings DEDUPLICATION = new KeyedCallSettings(false, true);
    private static final ClaimRead MISSING = new ClaimRead.Missing();
    private static final IdempotencyRecord.Result RAN =
            new IdempotencyRecord.Result(RunState.RAN, 200, "text/plain", "done", 0);
    private static final IdempotencyRecord.Result NOT_RUN =
            new IdempotencyRecord.Result(RunState.NOT_RUN, 0, "", "", 0);

    private final ClaimPlanner planner = new ClaimPlanner(new DaemonId("d1"), new Incarnation(1));

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
        return planner.onRead(ticket, read, Optional.empty(), settings);
    }

    private WriteClaim claim(ClaimTicket ticket) {
        return (WriteClaim) read(ticket, MISSING, NO_KEY_SUPPORT);
    }

    private Dispatch dispatch(ClaimTicket ticket) {
        return (Dispatch) planner.onClaimWritten(ticket, claim(ticket), new ClaimWrite.Written("7"), NO_KEY_SUPPORT);
    }

    private ClaimRead found(IdempotencyRecord record) {
        return new ClaimRead.Found(record, "7");
    }

    private IdempotencyRecord recorded(IdempotencyRecord.Result result) {
        ResultDecision decision =
                planner.recordResult(dispatch(ticket("old", "x", 1)), result, new WriteToken(new Incarnation(1), 2));
        return ((ResultDecision.Write) decision).record();
    }

    /** Guards against a second dispatch after an ambiguous write that took effect. */
    @Test
    void dispatchesAmbiguousClaimOnce() {
        ClaimTicket ticket = ticket("r", "x", 1);
        WriteClaim claim = claim(ticket);
        assertThat(claim.expectedVersion()).isEmpty();

        assertThat(planner.onClaimWritten(ticket, claim, new ClaimWrite.Ambiguous(), NO_KEY_SUPPORT))
                .isEqualTo(new ClaimDecision.ReadBack(claim.objectName()));
        assertThat(planner.onReadBack(ticket, found(claim.claim()), NO_KEY_SUPPORT))
                .isEqualTo(new Dispatch(claim.claim(), "7"));
        assertThat(planner.onReadBack(ticket, found(claim.claim()), NO_KEY_SUPPORT))
                .isEqualTo(new ClaimDecision.AnswerClaimedElsewhere());
    }

    /** Guards against two claims when a lost write lands after the read-back. */
    @Test
    void rewritesMissingClaimWithSameToken() {
        ClaimTicket ticket = ticket("r", "x", 1);

        assertThat(planner.onReadBack(ticket, MISSING, NO_KEY_SUPPORT)).isEqualTo(claim(ticket));
    }

    @Test
    void doesNotDispatchKeyClaimedElsewhere() {
        IdempotencyRecord other = claim(ticket("other", "x", 9)).claim();
        ClaimTicket ticket = ticket("r", "x", 1);

        assertThat(read(ticket, found(other), NO_KEY_SUPPORT)).isEqualTo(new ClaimDecision.AnswerClaimedElsewhere());
        assertThat(read(ticket, found(other), DEDUPLICATION)).isEqualTo(new ClaimDecision.AnswerClaimedElsewhere());
        assertThat(read(ticket, found(other), KEY_QUERY))
                .isEqualTo(new ClaimDecision.QueryUpstream("key", other.token()));
        assertThat(read(ticket("r", "y", 1), found(other), KEY_QUERY)).isEqualTo(new ClaimDecision.AnswerKeyReused());
        assertThat(planner.onKeyStatus(new KeyStatus.UnknownKey()))
                .isEqualTo(new ClaimDecision.AnswerClaimedElsewhere());
        assertThat(planner.onKeyStatus(new KeyStatus.Done(RAN))).isEqualTo(new ClaimDecision.ReplayResult(RAN));
    }

    @Test
    void replaysResultAndReclaimsNotRun() {
        assertThat(read(ticket("r", "x", 3), found(recorded(RAN)), NO_KEY_SUPPORT))
                .isEqualTo(new ClaimDecision.ReplayResult(RAN));
        assertThat(read(ticket("r", "x", 3), found(recorded(NOT_RUN)), NO_KEY_SUPPORT))
                .isInstanceOfSatisfying(
                        WriteClaim.class,
                        claim -> assertThat(claim.expectedVersion()).hasValue("7"));
    }

    /** Guards against a dispatch without a claim while the store is down. */
    @Test
    void refusesDuringStoreOutageUnlessUpstreamDeduplicates() {
        ClaimRead down = new ClaimRead.Unavailable();
        ClaimTicket ticket = ticket("r", "x", 1);
        IdempotencyRecord claim = claim(ticket).claim();

        assertThat(read(ticket, down, NO_KEY_SUPPORT)).isEqualTo(new ClaimDecision.AnswerStoreUnavailable());
        assertThat(planner.onReadBack(ticket, found(claim), NO_KEY_SUPPORT))
                .isEqualTo(new ClaimDecision.AnswerClaimedElsewhere());
        ClaimTicket refuses = ticket("r", "x", 2);
        assertThat(read(refuses, down, DEDUPLICATION)).isEqualTo(new ClaimDecision.DispatchWithoutClaim());
        assertThat(refuses.withdraw()).isFalse();
    }

    /** Guards against a key that stays claimed although its caller was told not-run. */
    @Test
    void releasesOnlyOwnUndispatchedClaim() {
        ClaimTicket ticket = ticket("r", "x", 1);
        IdempotencyRecord claim = claim(ticket).claim();
        assertThat(ticket.withdraw()).isTrue();
        WriteToken token = new WriteToken(new Incarnation(1), 5);

        assertThat(planner.releaseUndispatched(ticket, found(claim), 0, token)).hasValueSatisfying(write -> {
            assertThat(write.record().result()).hasValue(NOT_RUN);
            assertThat(write.version()).isEqualTo("7");
        });
        IdempotencyRecord other = claim(ticket("other", "x", 9)).claim();
        assertThat(planner.releaseUndispatched(ticket, found(other), 0, token)).isEmpty();
    }

    @Test
    void joinsInFlightCall() {
        KeyedCall holder = ticket("holder", "x", 1).call();
        Optional<OpenCall> open = Optional.of(new OpenCall(
                holder.request(),
                holder.account(),
                holder.service(),
                Optional.of(holder.objectName()),
                holder.fingerprint(),
                0));

        assertThat(planner.onRead(ticket("r", "x", 2), MISSING, open, NO_KEY_SUPPORT))
                .isEqualTo(new ClaimDecision.JoinInFlight(holder.request()));
        assertThat(planner.onRead(ticket("r", "y", 2), MISSING, open, NO_KEY_SUPPORT))
                .isEqualTo(new ClaimDecision.AnswerKeyReused());
    }

    /** Guards against a result that is lost, overwritten, or recorded although it is not known. */
    @Test
    void resolvesResultWriteByToken() {
        Dispatch dispatched = dispatch(ticket("r", "x", 1));
        WriteToken token = new WriteToken(new Incarnation(1), 2);
        ResultDecision.Write write = (ResultDecision.Write) planner.recordResult(dispatched, RAN, token);
        assertThat(write.version()).isEqualTo("7");
        assertThat(write.objectName()).isEqualTo(claim(ticket("r", "x", 1)).objectName());

        assertThat(planner.onResultWritten(write, new ClaimWrite.Ambiguous()))
                .isEqualTo(new ResultDecision.ReadBack(write));
        assertThat(planner.onResultReadBack(write, new ClaimRead.Found(write.record(), "8")))
                .isEqualTo(new ResultDecision.Recorded());
        assertThat(planner.onResultReadBack(write, found(dispatched.claim()))).isEqualTo(write);
        assertThat(planner.onResultReadBack(write, new ClaimRead.Found(dispatched.claim(), "9")))
                .isEqualTo(new ResultDecision.GiveUp());
        IdempotencyRecord.Result unknown = new IdempotencyRecord.Result(RunState.MAY_HAVE_RUN, 0, "", "", 0);
        assertThat(planner.recordResult(dispatched, unknown, token)).isEqualTo(new ResultDecision.GiveUp());
    }
}
