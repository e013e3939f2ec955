/**
 * Publishing of profiles. {@link org.sardineport.core.publishing.PublicationPlan}
 * compares a draft with the configuration in force and warns of probable mistakes.
 * {@link org.sardineport.core.publishing.PublicationTracker} determines the outcome of a
 * publication when the response of the log was lost.
 */
@NullMarked
package org.sardineport.core.publishing;

import org.jspecify.annotations.NullMarked;
