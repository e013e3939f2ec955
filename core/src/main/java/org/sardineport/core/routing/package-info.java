/**
 * Choice of a backend server by learned speed, known load and prefix affinity.
 */
@NullMarked
package org.sardineport.core.routing;

import org.jspecify.annotations.NullMarked;
