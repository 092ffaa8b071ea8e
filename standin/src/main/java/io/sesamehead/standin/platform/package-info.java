/** Stand-in for the platform: object API with watches, VM list, rate limit and faults. */
package io.sesamehead.standin.platform;
