package org.sardineport.cli.demo;

import java.time.Duration;

/**
 * A planned request of the demonstration.
 *
 * @param kind kind of the request
 * @param tag text that the tokens of the response must repeat
 * @param key idempotency key; empty if none
 * @param body body of the request
 * @param organisation organisation on whose behalf the request is sent
 * @param at planned time of sending, relative to the start of the load
 */
record WorkItem(WorkKind kind, String tag, String key, String body, String organisation, Duration at) {

}
