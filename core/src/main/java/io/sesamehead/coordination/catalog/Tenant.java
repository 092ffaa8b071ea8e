package io.sesamehead.coordination.catalog;

import io.sesamehead.state.ClientAccount;
import java.util.OptionalInt;

/**
 * The owner of one or more API keys.
 *
 * @param account the client account
 * @param priority priority of its calls, 0 is the most urgent; empty to use the priority of the route
 */
public record Tenant(ClientAccount account, OptionalInt priority) {}
