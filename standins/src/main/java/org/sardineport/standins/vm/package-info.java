/**
 * Fake of the platform's list of VMs.
 */
@NullMarked
package org.sardineport.standins.vm;

import org.jspecify.annotations.NullMarked;
