/** Stand-in for a model engine: control orders, token streams, group health and fault injection. */
package io.sesamehead.standin.engine;
