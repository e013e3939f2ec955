package org.sardineport.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.sardineport.core.request.Fingerprint;

/**
 * All that may be to blame if a request crashes a backend server: the request itself, and
 * the parts of its prompt that other requests may share.
 *
 * @param request the request
 * @param promptParts the shared parts of its prompt; may be empty
 */
public record RequestSuspects(Suspect request, List<Suspect> promptParts) {

	/**
	 * Creates the suspects from a copy of the list.
	 */
	public RequestSuspects {
		Objects.requireNonNull(request, "request must not be null");
		promptParts = List.copyOf(promptParts);
	}

	/**
	 * Returns the suspects of a request.
	 * @param request fingerprint of the request
	 * @param promptParts fingerprints of the shared parts of its prompt
	 * @return the suspects
	 */
	public static RequestSuspects of(Fingerprint request, List<Fingerprint> promptParts) {
		return new RequestSuspects(Suspect.request(request), promptParts.stream().map(Suspect::promptPart).toList());
	}

	/**
	 * Returns all suspects, the parts first.
	 * @return a new list
	 */
	public List<Suspect> all() {
		List<Suspect> all = new ArrayList<>(this.promptParts);
		all.add(this.request);
		return all;
	}

	/**
	 * Returns whether a suspect is this request or a part of its prompt.
	 * @param suspect the suspect
	 * @return whether it is among these
	 */
	public boolean contains(Suspect suspect) {
		return this.request.equals(suspect) || this.promptParts.contains(suspect);
	}

}
