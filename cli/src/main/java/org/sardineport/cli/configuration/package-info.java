/**
 * Reading and writing of the configuration stream by the command line.
 */
@NullMarked
package org.sardineport.cli.configuration;

import org.jspecify.annotations.NullMarked;
