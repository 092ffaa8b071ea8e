/** HTTP server that the stand-ins of outside systems share. */
package io.sesamehead.standin;
