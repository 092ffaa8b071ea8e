/** Operators' changes of the accepted release, and what the platform says about the fleet. */
package io.sesamehead.cli.operator;
