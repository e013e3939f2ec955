/**
 * Tells from the logs of several daemons what became of one request, and why.
 */
@NullMarked
package org.sardineport.cli.explain;

import org.jspecify.annotations.NullMarked;
