/** Stand-in for the platform: object API with watches, VM list, rate limit and fault injection. */
package io.sesamehead.standin.platform;
