package org.sardineport.core.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keys by which callers prove their organisation, and whether they need one at all. That
 * no key is in force does not mean that none is needed: after the last key was revoked,
 * every caller is refused. Immutable.
 */
public final class CallerKeys {

	private static final CallerKeys NOT_REQUIRED = new CallerKeys(false, Map.of());

	private final boolean required;

	private final Map<String, RelayOrganisation> organisations;

	private CallerKeys(boolean required, Map<String, RelayOrganisation> organisations) {
		this.required = required;
		this.organisations = Map.copyOf(organisations);
	}

	/**
	 * Returns the keys of a configuration that asks callers for none.
	 * @return keys of which none is required and none is in force
	 */
	public static CallerKeys notRequired() {
		return NOT_REQUIRED;
	}

	/**
	 * Returns the keys of a configuration in which callers need one.
	 * @param organisations the organisations by their keys; may be empty
	 * @return the keys
	 */
	public static CallerKeys required(Map<String, RelayOrganisation> organisations) {
		return new CallerKeys(true, organisations);
	}

	/**
	 * Returns whether callers of routes that are not open must send a key.
	 * @return {@code true} if a request without a key is refused
	 */
	public boolean areRequired() {
		return this.required;
	}

	/**
	 * Returns how many keys are in force.
	 * @return the number of keys
	 */
	public int size() {
		return this.organisations.size();
	}

	/**
	 * Finds the organisation to which a key belongs.
	 * @param key the caller's key
	 * @return the organisation, or empty if the key is not in force
	 */
	public Optional<RelayOrganisation> organisation(String key) {
		return Optional.ofNullable(this.organisations.get(key));
	}

	/**
	 * Returns the keys that another version has for the same organisations as well.
	 * @param names names of the organisations by their keys in the other version
	 * @return the keys in both
	 */
	CallerKeys retain(Map<String, String> names) {
		Map<String, RelayOrganisation> retained = new HashMap<>(this.organisations);
		retained.entrySet().removeIf((entry) -> !entry.getValue().id().value().equals(names.get(entry.getKey())));
		return new CallerKeys(this.required, retained);
	}

}
