/**
 * Which daemons callers are told to use.
 */
@NullMarked
package org.sardineport.core.entry;

import org.jspecify.annotations.NullMarked;
