/** The controller lease of a failure domain. */
package io.sesamehead.coordination.lease;
