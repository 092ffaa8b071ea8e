/** HTTP server and JSON support shared by the stand-ins of external systems. */
package io.sesamehead.standin;
