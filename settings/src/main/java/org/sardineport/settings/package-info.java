/**
 * Settings of a daemon: their YAML format, validation and defaults.
 */
@NullMarked
package org.sardineport.settings;

import org.jspecify.annotations.NullMarked;
