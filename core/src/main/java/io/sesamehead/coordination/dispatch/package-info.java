/** Dispatch of calls: choice of the target, load shedding, retries, and requests that crash their targets. */
package io.sesamehead.coordination.dispatch;
