/**
 * Settings of a daemon and texts of profiles: their YAML form, checks and defaults.
 */
@NullMarked
package org.sardineport.settings;

import org.jspecify.annotations.NullMarked;
