/**
 * Cost of reading responses of backend servers, by the size of their parts.
 */
@NullMarked
package org.sardineport.bench.response;

import org.jspecify.annotations.NullMarked;
