/**
 * Codecs of the configuration: records of its log stream, images, and messages between
 * daemons.
 */
@NullMarked
package org.sardineport.wire.configuration;

import org.jspecify.annotations.NullMarked;
