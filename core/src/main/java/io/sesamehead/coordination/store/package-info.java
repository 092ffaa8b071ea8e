/** Outcomes of writes to the platform's object API. */
package io.sesamehead.coordination.store;
