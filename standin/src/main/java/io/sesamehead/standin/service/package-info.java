/** Stand-in for a plain service that counts every execution. */
package io.sesamehead.standin.service;
