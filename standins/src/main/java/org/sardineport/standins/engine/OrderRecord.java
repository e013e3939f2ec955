package org.sardineport.standins.engine;

/**
 * Order as the stand-in reads and writes it in JSON. Component names are part of the HTTP
 * protocol.
 *
 * @param kind name of an {@code EngineOrder.Kind}
 * @param argument argument of the order
 * @param fencingNumber fencing token of the sender, -1 before the first order
 */
record OrderRecord(String kind, String argument, long fencingNumber) {

}
