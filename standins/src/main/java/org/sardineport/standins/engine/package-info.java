/**
 * Stand-in for a model engine that batches continuously and knows no priorities.
 */
@NullMarked
package org.sardineport.standins.engine;

import org.jspecify.annotations.NullMarked;
