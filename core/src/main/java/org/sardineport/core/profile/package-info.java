/**
 * Profiles that operators publish: routes, tiers, limits and non-idempotent marks.
 */
@NullMarked
package org.sardineport.core.profile;

import org.jspecify.annotations.NullMarked;
