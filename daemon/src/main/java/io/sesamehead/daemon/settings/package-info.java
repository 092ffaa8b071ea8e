/** Reading and validation of the daemon settings and of the release note. */
package io.sesamehead.daemon.settings;
