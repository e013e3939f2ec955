/**
 * HTTP servers towards callers and operators.
 */
@NullMarked
package org.sardineport.daemon.http;

import org.jspecify.annotations.NullMarked;
