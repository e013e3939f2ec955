/**
 * Fakes of a model engine with continuous batching and without priorities, in memory and
 * over HTTP.
 */
@NullMarked
package org.sardineport.standins.engine;

import org.jspecify.annotations.NullMarked;
