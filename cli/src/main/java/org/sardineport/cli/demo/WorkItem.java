package org.sardineport.cli.demo;

import java.time.Duration;

/**
 * One request of the mix.
 *
 * @param kind its kind
 * @param tag text that its answer must repeat
 * @param key its key, or empty
 * @param body its body
 * @param organisation who sends it
 * @param at when it is sent, from the start of the load
 */
record WorkItem(WorkKind kind, String tag, String key, String body, String organisation, Duration at) {

}
