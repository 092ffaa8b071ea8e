/**
 * Admission control: fair sharing between client accounts, a concurrency limit, and a queue limited by length and
 * deadline.
 */
package io.sesamehead.coordination.admission;
