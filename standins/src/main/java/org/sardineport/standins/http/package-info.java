/**
 * Shared support of the fakes that serve HTTP.
 */
@NullMarked
package org.sardineport.standins.http;

import org.jspecify.annotations.NullMarked;
