/**
 * Messages between daemons and records in the log, generated from the files in
 * {@code src/main/proto} by {@code wire/generate}.
 */
package org.sardineport.wire.message;
