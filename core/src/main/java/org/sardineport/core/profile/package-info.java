/**
 * Profiles that operators publish. A {@link org.sardineport.core.profile.Profile} maps
 * requests to a {@link org.sardineport.core.profile.Route} with pool, tier and deadline,
 * and holds the rate limit and the tokens of each organisation.
 */
@NullMarked
package org.sardineport.core.profile;

import org.jspecify.annotations.NullMarked;
