/**
 * Which daemon hands out the permits of a backend server.
 */
@NullMarked
package org.sardineport.core.ownership;

import org.jspecify.annotations.NullMarked;
