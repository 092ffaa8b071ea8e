/** Operators' changes to the accepted release, and the state of the fleet as recorded on the platform. */
package io.sesamehead.cli.operator;
