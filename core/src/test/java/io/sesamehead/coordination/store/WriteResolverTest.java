package io.sesamehead.coordination.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.WriteToken;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against reporting a write as refused or accepted if this cannot be determined from the object. */
final class WriteResolverTest {
    private static final WriteToken SENT = token(1);
    private static final Optional<String> BASE = Optional.of("7");

    @Test
    void currentTokenMeansAccepted() {
        assertThat(resolve("8", SENT)).isEqualTo(new WriteResolution.Accepted());
    }

    @Test
    void tokenInHistoryMeansSuperseded() {
        assertThat(resolve("9", token(2), SENT, token(2))).isEqualTo(new WriteResolution.SupersededAfterAcceptance());
    }

    @Test
    void completeHistoryWithoutTokenMeansRefused() {
        assertThat(resolve("9", token(3), token(2), token(3))).isEqualTo(new WriteResolution.Refused());
    }

    @Test
    void fullHistoryWithoutTokenMeansUnknown() {
        WriteToken[] full =
                LongStream.range(2, 18).mapToObj(WriteResolverTest::token).toArray(WriteToken[]::new);
        assertThat(resolve("40", token(17), full)).isEqualTo(new WriteResolution.Unknown());
    }

    @Test
    void missingHistoryMeansUnknown() {
        assertThat(resolve("9", token(2))).isEqualTo(new WriteResolution.Unknown());
    }

    /** Guards against reporting a write as refused that may still be in flight. */
    @Test
    void unchangedObjectMeansNotApplied() {
        assertThat(resolve("7", token(2), token(2))).isEqualTo(new WriteResolution.NotApplied());
        assertThat(WriteResolver.resolve(SENT, Optional.empty(), Optional.empty()))
                .isEqualTo(new WriteResolution.NotApplied());
    }

    private static WriteResolution resolve(String version, WriteToken last, WriteToken... history) {
        ReadBackObject read = new ReadBackObject(version, Optional.of(last), ImmutableList.copyOf(history));
        return WriteResolver.resolve(SENT, BASE, Optional.of(read));
    }

    private static WriteToken token(long sequence) {
        return new WriteToken(new Incarnation(5), sequence);
    }
}
