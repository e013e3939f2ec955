/**
 * Reads and appends to the configuration stream of the log service.
 */
@NullMarked
package org.sardineport.cli.configuration;

import org.jspecify.annotations.NullMarked;
