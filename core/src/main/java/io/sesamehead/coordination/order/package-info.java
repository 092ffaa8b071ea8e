/** Calls that carry an idempotency key: claim before dispatch, and answers to repeated calls. */
package io.sesamehead.coordination.order;
