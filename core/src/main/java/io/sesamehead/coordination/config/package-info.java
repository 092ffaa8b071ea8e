/** The configuration in force and the readiness of the daemon. */
package io.sesamehead.coordination.config;
