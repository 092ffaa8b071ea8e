package io.sesamehead.entry.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.dispatch.RefusedConnections;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.entry.protocol.generated.DaemonReport;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

/** Guards against a report that daemons of another build read differently. */
final class ReportCodecTest {
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
}
