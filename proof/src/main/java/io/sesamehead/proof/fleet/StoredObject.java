package io.sesamehead.proof.fleet;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.store.ReadBackObject;
import io.sesamehead.coordination.store.WriteResolver;
import io.sesamehead.proof.FakeStore.VersionedValue;
import io.sesamehead.state.WriteToken;
import java.util.Optional;

/**
 * Value of an object in the store.
 *
 * @param content the content
 * @param token token of the write
 * @param history tokens of the last writers, newest first
 */
record StoredObject(Object content, WriteToken token, ImmutableList<WriteToken> history) {
    static StoredObject of(Object content, WriteToken token) {
        return new StoredObject(content, token, ImmutableList.of());
    }

    /** Content of an object that keeps the tokens of its writers. */
    static StoredObject withHistory(ImmutableList<WriteToken> before, Object content, WriteToken token) {
        ImmutableList<WriteToken> history =
                ImmutableList.<WriteToken>builder().add(token).addAll(before).build();
        return new StoredObject(
                content, token, history.subList(0, Math.min(history.size(), WriteResolver.HISTORY_LENGTH)));
    }

    static StoredObject from(VersionedValue object) {
        return (StoredObject) object.value();
    }

    static ReadBackObject readBack(VersionedValue object) {
        StoredObject value = from(object);
        return new ReadBackObject(Long.toString(object.version()), Optional.of(value.token), value.history);
    }
}
