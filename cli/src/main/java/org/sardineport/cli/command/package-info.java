/**
 * Commands and options of the command line.
 */
@NullMarked
package org.sardineport.cli.command;

import org.jspecify.annotations.NullMarked;
