/**
 * The operators' command line.
 */
@NullMarked
package org.sardineport.cli;

import org.jspecify.annotations.NullMarked;
