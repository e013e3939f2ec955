/**
 * Adapter to model engines and plain services over HTTP.
 */
@NullMarked
package org.sardineport.daemon.engine;

import org.jspecify.annotations.NullMarked;
