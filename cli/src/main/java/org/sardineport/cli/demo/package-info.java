/**
 * Demonstration of a fleet with stand-ins in one process, under a mix of requests.
 */
@NullMarked
package org.sardineport.cli.demo;

import org.jspecify.annotations.NullMarked;
