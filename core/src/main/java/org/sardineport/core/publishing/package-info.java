/**
 * Publishing of profiles: differences, warnings of probable slips, and the settlement of
 * lost answers.
 */
@NullMarked
package org.sardineport.core.publishing;

import org.jspecify.annotations.NullMarked;
