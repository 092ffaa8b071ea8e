/** Forming, serving, repairing and releasing groups. */
package io.sesamehead.coordination.group;
