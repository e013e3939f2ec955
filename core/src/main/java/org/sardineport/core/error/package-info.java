/**
 * Base of the typed errors, each of which names its remedy.
 */
@NullMarked
package org.sardineport.core.error;

import org.jspecify.annotations.NullMarked;
