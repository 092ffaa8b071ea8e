package io.sesamehead.proof.calls;

import io.sesamehead.coordination.order.ClaimRead;
import io.sesamehead.coordination.order.ClaimWrite;
import io.sesamehead.proof.FakeStore.StoreAnswer;
import io.sesamehead.proof.FakeStore.Versioned;
import io.sesamehead.state.IdempotencyRecord;
import java.util.Optional;
import java.util.function.Consumer;

/** A daemon's calls to the object API: each is carried out at most once and has one answer, or none in time. */
final class StorePort {
    static final String NAME = "store";

    private static final long TIMEOUT_MILLIS = 400;

    private final World world;
    private final String daemon;
    private final Process process;

    StorePort(World world, String daemon, Process process) {
        this.world = world;
        this.daemon = daemon;
        this.process = process;
    }

    /** Reads an object; the answer is empty when none came in time. */
    void read(String name, Consumer<Optional<StoreAnswer>> answer) {
        Exchange exchange = new Exchange(answer);
        world.network()
                .send(daemon, NAME, () -> exchange.once(() -> world.store().read(name, exchange::back)));
    }

    /** Writes an object conditionally, version 0 for a creation; the answer is empty when none came in time. */
    void write(String name, long version, Object value, Consumer<Optional<StoreAnswer>> answer) {
        Exchange exchange = new Exchange(answer);
        world.network()
                .send(
                        daemon,
                        NAME,
                        () -> exchange.once(() -> world.store().write(name, version, value, exchange::back)));
    }

    void readClaim(String name, Consumer<ClaimRead> answer) {
        read(name, result -> answer.accept(claimRead(result)));
    }

    void writeClaim(String name, Optional<String> version, IdempotencyRecord order, Consumer<ClaimWrite> answer) {
        long expected = version.map(Long::parseLong).orElse(0L);
        write(name, expected, order, result -> answer.accept(claimWrite(result)));
    }

    private static ClaimRead claimRead(Optional<StoreAnswer> result) {
        if (result.isEmpty()) {
            return new ClaimRead.Unavailable();
        }
        return switch (result.get()) {
            case StoreAnswer.Found(Versioned(long version, Object value)) ->
                new ClaimRead.Found((IdempotencyRecord) value, Long.toString(version));
            case StoreAnswer.Missing ignored -> new ClaimRead.Missing();
            case StoreAnswer.Conflict ignored -> throw new IllegalStateException("a read met a conflict");
            case StoreAnswer.Unavailable ignored -> new ClaimRead.Unavailable();
            case StoreAnswer.Lost ignored -> new ClaimRead.Unavailable();
        };
    }

    private static ClaimWrite claimWrite(Optional<StoreAnswer> result) {
        if (result.isEmpty()) {
            return new ClaimWrite.Ambiguous();
        }
        return switch (result.get()) {
            case StoreAnswer.Found found ->
                new ClaimWrite.Written(Long.toString(found.object().version()));
            case StoreAnswer.Missing ignored -> throw new IllegalStateException("a write found nothing");
            case StoreAnswer.Conflict ignored -> new ClaimWrite.Conflict();
            case StoreAnswer.Unavailable ignored -> new ClaimWrite.Unavailable();
            case StoreAnswer.Lost ignored -> new ClaimWrite.Ambiguous();
        };
    }

    /** One call: the network may repeat both directions. */
    private final class Exchange {
        private final Consumer<Optional<StoreAnswer>> answer;
        private boolean carriedOut;

        Exchange(Consumer<Optional<StoreAnswer>> answer) {
            this.answer = process.receiver(new Once<>(answer));
            process.after(TIMEOUT_MILLIS, () -> this.answer.accept(Optional.empty()));
        }

        void once(Runnable call) {
            if (!carriedOut) {
                carriedOut = true;
                call.run();
            }
        }

        void back(StoreAnswer result) {
            world.network().send(NAME, daemon, () -> answer.accept(Optional.of(result)));
        }
    }
}
