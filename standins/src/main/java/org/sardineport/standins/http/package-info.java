/**
 * What the stand-ins that speak HTTP have in common.
 */
@NullMarked
package org.sardineport.standins.http;

import org.jspecify.annotations.NullMarked;
