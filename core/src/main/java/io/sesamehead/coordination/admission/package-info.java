/** Admission of calls: fair share per client account, a concurrency limit, and a queue bounded by length and deadline. */
package io.sesamehead.coordination.admission;
