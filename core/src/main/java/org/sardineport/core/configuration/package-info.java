/**
 * Which profiles are in force: verdicts on published records, versions and snapshots.
 */
@NullMarked
package org.sardineport.core.configuration;

import org.jspecify.annotations.NullMarked;
