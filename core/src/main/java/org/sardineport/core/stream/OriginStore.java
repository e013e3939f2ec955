package org.sardineport.core.stream;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;

import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.identity.PoolName;

/**
 * Origins of streams kept by the platform, where they survive the loss of all daemons.
 * Methods may be called from any thread and do not block; stages complete on any thread
 * and fail if the platform cannot be reached.
 */
public interface OriginStore {

	/**
	 * Returns the era of the platform's store, which rises when the store has lost what
	 * it had acknowledged, so that a statement read before may no longer be there.
	 * @return the era
	 */
	long era();

	/**
	 * Reads what is stored of a key.
	 * @param key the key
	 * @return the record with everything that was appended before the call, as far as it
	 * is still retained
	 */
	CompletionStage<StreamRecord> find(StreamKey key);

	/**
	 * Stores origins.
	 * @param origins the origins, not empty
	 * @return completes when all of them are stored; after a failure they may be
	 */
	CompletionStage<Void> append(List<StoredOrigin> origins);

	/**
	 * Reads the newest statement of pools with a single version.
	 * @return the statement, {@link SoleVersions#NONE} if there is none
	 */
	CompletionStage<SoleVersions> soleVersions();

	/**
	 * Replaces that statement.
	 * @param stored the statement to replace
	 * @param next the only version of each pool
	 * @return the new statement; fails if another one has replaced it meanwhile
	 */
	CompletionStage<SoleVersions> replace(SoleVersions stored, Map<PoolName, SoftwareVersion> next);

}
