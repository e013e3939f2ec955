/**
 * Metrics and logs of the daemon. {@code Telemetry} holds the metrics, which
 * {@code PrometheusText} formats for scraping. {@code EventLog} writes one line per event
 * to an {@code EventSink}: Log4j or the non-blocking {@code BoundedOutput}.
 */
@NullMarked
package org.sardineport.daemon.telemetry;

import org.jspecify.annotations.NullMarked;
