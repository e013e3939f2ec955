package org.sardineport.standins.engine;

/**
 * Order as the engine reads and writes it.
 */
record OrderRecord(String kind, String argument, long fencingNumber) {

}
