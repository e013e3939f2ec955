/**
 * Command line for operators.
 */
@NullMarked
package org.sardineport.cli;

import org.jspecify.annotations.NullMarked;
