package org.sardineport.daemon.http;

import java.util.List;

/**
 * Answer to a caller that asks which addresses to use.
 *
 * @param addresses addresses in the order in which to try them
 * @param keepSeconds time for which the caller may keep the answer
 */
record EntryJson(List<String> addresses, long keepSeconds) {

}
