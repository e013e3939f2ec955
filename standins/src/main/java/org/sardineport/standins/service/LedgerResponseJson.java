package org.sardineport.standins.service;

/**
 * Answer of the ledger.
 *
 * @param reference key of the posting, or the path asked for
 * @param bytes size of the body that was sent
 */
record LedgerResponseJson(String reference, int bytes) {

}
