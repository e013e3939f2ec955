/**
 * Client of the daemons' ports for the command line.
 */
@NullMarked
package org.sardineport.cli.operator;

import org.jspecify.annotations.NullMarked;
