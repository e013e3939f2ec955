/**
 * What a request is to the scheduler: its tier, size, deadline, outcome, and the reasons
 * to refuse or retry it.
 */
@NullMarked
package org.sardineport.core.request;

import org.jspecify.annotations.NullMarked;
