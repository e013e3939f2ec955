/**
 * Typed identifiers and addresses: daemons, backend servers, pools, organisations,
 * requests. The records implement {@code equals} and {@code hashCode} explicitly, because
 * the compiler-generated methods of records are linked on first use, which adds
 * milliseconds to every start-up.
 */
@NullMarked
package org.sardineport.core.identity;

import org.jspecify.annotations.NullMarked;
