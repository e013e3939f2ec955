package org.sardineport.core.journal;

/**
 * Claim of a daemon on a key for one request, made by an ACCEPTED record. Opaque to
 * request handlers.
 *
 * @param key the key
 * @param token identifier of the claim, unique in the fleet
 */
public record JournalClaim(IdempotencyKey key, String token) {

}
