/**
 * Selects the daemons that callers connect to. {@link EntrySelector} draws their
 * addresses at random, weighted by the free capacity that each daemon reports as its
 * {@link EntryLoad}.
 */
@NullMarked
package org.sardineport.core.entry;

import org.jspecify.annotations.NullMarked;
