/** Memory that a daemon holds for the calls of others. */
package io.sesamehead.coordination.buffer;
