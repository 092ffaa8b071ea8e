/** Where a call is sent, when it is refused, and when it is sent again. */
package io.sesamehead.coordination.dispatch;
