/**
 * Base class of the checked exceptions, each of which has a remedy, and the exception for
 * invalid documents with its list of faults.
 */
@NullMarked
package org.sardineport.core.error;

import org.jspecify.annotations.NullMarked;
