/**
 * Parsing and validation of profiles in YAML.
 */
@NullMarked
package org.sardineport.settings.profile;

import org.jspecify.annotations.NullMarked;
