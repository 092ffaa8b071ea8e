/** Which groups form, serve, are repaired and dissolve. */
package io.sesamehead.coordination.group;
