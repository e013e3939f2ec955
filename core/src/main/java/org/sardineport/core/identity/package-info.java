/**
 * Names of the things that the system routes between: daemons, backend servers,
 * organisations, requests.
 */
@NullMarked
package org.sardineport.core.identity;

import org.jspecify.annotations.NullMarked;
