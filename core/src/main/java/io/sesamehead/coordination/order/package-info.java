/** Calls with an idempotency key: claims before dispatch, and answers to repeated calls. */
package io.sesamehead.coordination.order;
