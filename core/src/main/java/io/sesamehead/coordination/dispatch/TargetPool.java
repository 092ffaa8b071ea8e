package io.sesamehead.coordination.dispatch;

import com.google.common.hash.Hashing;
import io.sesamehead.state.ServiceName;
import java.util.Optional;

/**
 * Targets among which a call may be sent to any: those of a service or, if it serves models, of one model.
 *
 * @param service the service
 * @param model the model, empty for a plain service
 */
public record TargetPool(ServiceName service, Optional<String> model) {
    private static final char SEPARATOR = '\0';

    /**
     * Returns the pool that a target belongs to.
     *
     * @param target a group or an upstream of a plain service
     * @return its pool
     */
    public static TargetPool of(Target target) {
        Optional<String> model =
                target.engine().isPresent() ? target.key().replica().model() : Optional.empty();
        return new TargetPool(target.upstream().service(), model);
    }

    /**
     * Returns the hash by which reports name this pool.
     *
     * @return the same value in every process
     */
    public int hash() {
        return Hashing.murmur3_32_fixed()
                .hashUnencodedChars(service.value() + SEPARATOR + model.orElse(""))
                .asInt();
    }

    @Override
    public String toString() {
        return model.map(name -> service.value() + "/" + name).orElse(service.value());
    }
}
