package io.sesamehead.coordination.store;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.WriteToken;
import java.util.Optional;

/**
 * What was read back of an object.
 *
 * @param version resource version
 * @param token token of the last write, or empty when the object carries none
 * @param history tokens of the last writers, newest first or last, with or without the last write; empty when the
 *     object keeps none
 */
public record ReadBackObject(String version, Optional<WriteToken> token, ImmutableList<WriteToken> history) {}
