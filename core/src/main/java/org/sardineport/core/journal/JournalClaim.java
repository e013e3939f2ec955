package org.sardineport.core.journal;

/**
 * A daemon's claim on a key for one request, made by its ACCEPTED record. Opaque to those
 * who hold it.
 *
 * @param key the key
 * @param token identity of the claim, unique in the fleet
 */
public record JournalClaim(IdempotencyKey key, String token) {

}
