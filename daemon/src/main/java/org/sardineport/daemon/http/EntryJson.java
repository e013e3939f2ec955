package org.sardineport.daemon.http;

import java.util.List;

/**
 * Response body that lists the entry addresses for a caller.
 *
 * @param addresses addresses as {@code ip:port}, in the order in which to try them
 * @param keepSeconds time for which the caller may cache the list, in seconds
 */
record EntryJson(List<String> addresses, long keepSeconds) {

}
