/**
 * When and where requests run: the entry side holds requests until they have a permit,
 * the owner side grants permits for its backend servers, and messages join the two.
 */
@NullMarked
package org.sardineport.core.scheduling;

import org.jspecify.annotations.NullMarked;
