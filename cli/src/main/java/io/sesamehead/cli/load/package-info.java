/** The load tool: a bounded open-loop load whose every answer is checked and classified. */
package io.sesamehead.cli.load;
