/** Which configuration is in force, and whether the daemon is ready. */
package io.sesamehead.coordination.config;
