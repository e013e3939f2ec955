/**
 * Wire forms of the configuration: records of its stream, images, and messages between
 * daemons.
 */
@NullMarked
package org.sardineport.wire.configuration;

import org.jspecify.annotations.NullMarked;
