/**
 * Start and stop of the system's services.
 */
@NullMarked
package org.sardineport.core.lifecycle;

import org.jspecify.annotations.NullMarked;
