/**
 * Backend servers as the scheduler sees them: where they are, what they serve, what they
 * report.
 */
@NullMarked
package org.sardineport.core.backend;

import org.jspecify.annotations.NullMarked;
