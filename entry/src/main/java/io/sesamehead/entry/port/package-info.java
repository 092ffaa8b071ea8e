/** What an entry daemon needs from the platform that it runs on, in the project's own words. */
package io.sesamehead.entry.port;
