/** Stand-in for a model engine: control orders, token streams, group health and faults. */
package io.sesamehead.standin.engine;
