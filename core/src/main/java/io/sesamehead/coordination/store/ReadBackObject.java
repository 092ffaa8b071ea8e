package io.sesamehead.coordination.store;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.WriteToken;
import java.util.Optional;

/**
 * Metadata of an object that was read back after a write.
 *
 * @param version resource version
 * @param token token of the last write, or empty if the object has none
 * @param history tokens of recent writes, in either order, with or without the last write; empty if the object keeps no
 *     history
 */
public record ReadBackObject(String version, Optional<WriteToken> token, ImmutableList<WriteToken> history) {}
