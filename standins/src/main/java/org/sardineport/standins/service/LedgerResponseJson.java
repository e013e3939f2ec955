package org.sardineport.standins.service;

/**
 * Response of the ledger. Component names are part of the HTTP protocol.
 *
 * @param reference idempotency key of the posting, or the requested path if there is none
 * @param bytes size of the request body
 */
record LedgerResponseJson(String reference, int bytes) {

}
