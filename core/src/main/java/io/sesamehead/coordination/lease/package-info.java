/** The controller lease of a failure domain: acquiring, renewing and releasing it. */
package io.sesamehead.coordination.lease;
