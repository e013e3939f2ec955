/**
 * Reconstructs the course and the outcome of a request from the logs of several daemons.
 */
@NullMarked
package org.sardineport.cli.explain;

import org.jspecify.annotations.NullMarked;
