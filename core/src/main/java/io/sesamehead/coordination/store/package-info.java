/** Outcomes of writes to the platform's object API, and the histories of its store. */
package io.sesamehead.coordination.store;
