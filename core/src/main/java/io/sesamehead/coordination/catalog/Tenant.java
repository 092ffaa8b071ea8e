package io.sesamehead.coordination.catalog;

import io.sesamehead.state.ClientAccount;
import java.util.OptionalInt;

/**
 * The holder of one or more keys.
 *
 * @param account the client account
 * @param priority urgency of its calls, 0 is the most urgent; empty to use the route's
 */
public record Tenant(ClientAccount account, OptionalInt priority) {}
