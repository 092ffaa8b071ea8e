package io.sesamehead.entry.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.dispatch.CrashReport;
import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.RefusedConnections;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetReport;
import io.sesamehead.entry.protocol.generated.CrashedRequest;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import io.sesamehead.entry.protocol.generated.LeavingUpstream;
import io.sesamehead.entry.protocol.generated.MemberStage;
import io.sesamehead.entry.protocol.generated.ModelLoad;
import io.sesamehead.entry.protocol.generated.StoreView;
import io.sesamehead.entry.protocol.generated.TargetLoad;
import io.sesamehead.entry.protocol.generated.UpstreamChange;
import io.sesamehead.entry.protocol.generated.UpstreamRecord;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/** Guards against a report that daemons of another build read differently. */
final class ReportCodecTest {
    private static final int DAMAGED_REPORTS = 20_000;
    private static final long SEED = 35;
    private static final RefusedConnections.Refusal REFUSAL =
            new RefusedConnections.Refusal(new TargetKey("a", 5), ImmutableMap.of(1L, 300L));

    @Test
    void encodesRefusedConnectionsAsTheSchemaStates() {
        DaemonReport report = DaemonReport.newBuilder()
                .addRefused(ReportCodec.encodeRefusedTarget(REFUSAL))
                .build();

        assertThat(HexFormat.of().formatHex(report.toByteArray()))
                .isEqualTo("9a0113" + "0a0161" + "1005" + "1a080100000000000000" + "2202ac02");
    }

    @Test
    void decodesRefusedConnections() {
        byte[] bytes = DaemonReport.newBuilder()
                .setDaemon("front-a-1")
                .addRefused(ReportCodec.encodeRefusedTarget(REFUSAL))
                .addRefused(ReportCodec.encodeRefusedTarget(new RefusedConnections.Refusal(
                        new TargetKey("big-8", 8), ImmutableMap.of(-1L, 0L, 2L, 1_200L))))
                .build()
                .toByteArray();

        assertThat(ReportCodec.decodeRefusedTargets(ReportCodec.decode(bytes).orElseThrow()))
                .containsExactly(
                        REFUSAL,
                        new RefusedConnections.Refusal(
                                new TargetKey("big-8", 8), ImmutableMap.of(-1L, 0L, 2L, 1_200L)));
    }

    @Test
    void leavesOutInvalidRowsAlone() {
        DaemonReport report = DaemonReport.newBuilder()
                .setDaemon("front-a-1")
                .addTargets(TargetLoad.newBuilder().setName("odd").setInFlight(-1))
                .addTargets(TargetLoad.newBuilder().setName("odd").setInFlight(Integer.MAX_VALUE))
                .addTargets(TargetLoad.newBuilder().setName("odd").setSilentMillis(-1))
                .addTargets(TargetLoad.newBuilder().setName(" "))
                .addTargets(TargetLoad.newBuilder().setName("sound").setInFlight(3))
                .addModels(ModelLoad.newBuilder().setModel("odd").setRefused(-5))
                .addModels(ModelLoad.newBuilder().setModel("sound").setRefused(5))
                .addCrashed(CrashedRequest.newBuilder()
                        .addTargets(1)
                        .addTargets(2)
                        .addTargets(3)
                        .addAgesMillis(-1)
                        .addAgesMillis(20)
                        .setCompletedAge(Long.MIN_VALUE))
                .build();

        assertThat(ReportCodec.decodeLoads(report))
                .containsExactly(new TargetReport(new TargetKey("sound", 0), 3, 0, false));
        assertThat(ReportCodec.decodeRefusals(report)).containsExactly(Map.entry("sound", 5));
        assertThat(ReportCodec.decodeCrashes(report))
                .containsExactly(new CrashReport(new CrashSubject(0), ImmutableMap.of(2L, 20L), OptionalLong.empty()));
    }

    @Test
    void rejectsReportWithoutSenderAndLeaseWithoutHolder() {
        DaemonReport report =
                DaemonReport.newBuilder().setLeaseEpoch(3).setLeaseHolder(" ").build();

        assertThat(ReportCodec.decode(report.toByteArray())).isEmpty();
        assertThat(ReportCodec.decodeLease(report)).isEmpty();
        assertThat(ReportCodec.decodeLease(DaemonReport.newBuilder(report)
                        .setLeaseHolder("front-a-1")
                        .setLeaseEpoch(-1)
                        .build()))
                .isEmpty();
    }

    /** Guards against a datagram whose content ends the processing of reports. */
    @Test
    void decodesDamagedReportsWithoutException() {
        UpstreamChange change = UpstreamChange.newBuilder()
                .setName("i-1")
                .setRevision(4)
                .setUpstream(UpstreamRecord.newBuilder()
                        .setService("pool")
                        .setHost("10.128.0.9")
                        .setPort(80)
                        .setFailureDomain("a")
                        .setSlots(18)
                        .setGroup("m0-4")
                        .setGroupEpoch(4)
                        .setStage(MemberStage.OPEN))
                .build();
        byte[] sound = DaemonReport.newBuilder()
                .setDaemon("front-a-1")
                .setSequence(7)
                .setLeaseEpoch(3)
                .setLeaseHolder("front-a-2")
                .addTargets(TargetLoad.newBuilder().setName("m0-4").setGeneration(4))
                .addModels(ModelLoad.newBuilder().setModel("m0").setRefused(1))
                .addRefused(ReportCodec.encodeRefusedTarget(REFUSAL))
                .addCrashed(CrashedRequest.newBuilder().addTargets(1).addAgesMillis(20))
                .addLeaving(LeavingUpstream.newBuilder().setName("i-1"))
                .setStore(StoreView.newBuilder().addChanges(change))
                .build()
                .toByteArray();
        RandomGenerator random = new Random(SEED);
        int invalidChanges = 0;
        for (int i = 0; i < DAMAGED_REPORTS; i++) {
            byte[] bytes = sound.clone();
            for (int damaged = random.nextInt(3); damaged >= 0; damaged--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            Optional<DaemonReport> report = ReportCodec.decode(bytes);
            if (report.isPresent()) {
                invalidChanges += decodeAll(report.get());
            }
        }
        assertThat(invalidChanges).isPositive();
    }

    /** Returns the number of changes that the receiver queries the store for. */
    private static int decodeAll(DaemonReport report) {
        ReportCodec.decodeLoads(report);
        ReportCodec.decodeRefusals(report);
        ReportCodec.decodeLease(report);
        ReportCodec.decodeCrashes(report);
        ReportCodec.decodeRefusedTargets(report);
        ReportCodec.leaving(report);
        int invalid = 0;
        for (UpstreamChange change : report.getStore().getChangesList()) {
            try {
                UpstreamRecordCodec.decode(change, report.getStore().getStoreEra());
            } catch (IllegalArgumentException e) {
                // Stated for a field with an invalid value.
                invalid++;
            }
        }
        return invalid;
    }
}
