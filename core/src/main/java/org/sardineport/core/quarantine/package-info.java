/**
 * Requests that crash the backend servers that run them.
 */
@NullMarked
package org.sardineport.core.quarantine;

import org.jspecify.annotations.NullMarked;
