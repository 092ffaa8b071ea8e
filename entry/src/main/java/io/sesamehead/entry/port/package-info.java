/** Platform-independent interfaces and data types between an entry daemon and the platform that it runs on. */
package io.sesamehead.entry.port;
