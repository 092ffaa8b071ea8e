/**
 * Configuration set by operators: routes, services, models and client accounts, and the time for which a copy of it may
 * be used.
 */
package io.sesamehead.coordination.catalog;
