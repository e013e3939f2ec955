/**
 * Stand-in for a plain service whose calls may not be repeated.
 */
@NullMarked
package org.sardineport.standins.service;

import org.jspecify.annotations.NullMarked;
