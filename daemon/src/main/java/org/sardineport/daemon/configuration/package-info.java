/**
 * Reads the configuration stream, keeps the profiles in force, and catches up from peers.
 */
@NullMarked
package org.sardineport.daemon.configuration;

import org.jspecify.annotations.NullMarked;
