/**
 * The YAML form of profiles and its checks.
 */
@NullMarked
package org.sardineport.settings.profile;

import org.jspecify.annotations.NullMarked;
