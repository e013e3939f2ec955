/**
 * Names of the things that the system routes between: daemons, backend servers,
 * organisations, requests. They compare themselves in written code, as what the compiler
 * makes for records is linked at its first use, which costs each start milliseconds.
 */
@NullMarked
package org.sardineport.core.identity;

import org.jspecify.annotations.NullMarked;
