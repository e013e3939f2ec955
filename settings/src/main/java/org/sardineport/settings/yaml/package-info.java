/**
 * Parsing of YAML documents within size limits. All faults of a document are reported
 * with their path and line.
 */
@NullMarked
package org.sardineport.settings.yaml;

import org.jspecify.annotations.NullMarked;
