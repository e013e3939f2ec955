/**
 * Bounded reading of YAML documents, with every fault named by its place.
 */
@NullMarked
package org.sardineport.settings.yaml;

import org.jspecify.annotations.NullMarked;
