/**
 * Runs one request from its admission to its end: permit, journal, dispatch, answer.
 */
@NullMarked
package org.sardineport.daemon.exchange;

import org.jspecify.annotations.NullMarked;
