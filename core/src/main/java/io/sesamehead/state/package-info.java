/** Value types of the system: ids, contents of platform objects, evidence about VMs and outcomes of requests. */
package io.sesamehead.state;
