/**
 * HTTP client for the operators' and callers' ports of a daemon.
 */
@NullMarked
package org.sardineport.cli.operator;

import org.jspecify.annotations.NullMarked;
