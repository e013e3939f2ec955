package org.sardineport.cli.operator;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.error.SardineportException;

/**
 * Thrown when a daemon does not respond, or not with status 200.
 */
public final class DaemonUnreachableException extends SardineportException {

	private static final long serialVersionUID = 1L;

	private DaemonUnreachableException(String message, String remedy, @Nullable Throwable cause) {
		super(message, remedy, cause);
	}

	static DaemonUnreachableException noResponse(String url, Throwable cause) {
		return new DaemonUnreachableException("no valid response from %s (%s)".formatted(url, cause),
				"Check the address, or name the address of another daemon.", cause);
	}

	static DaemonUnreachableException unexpectedStatus(String url, int status) {
		String remedy = (status == 401) ? "Give the operators' token in SARDINEPORT_OPERATOR_TOKEN or --token-file."
				: "Check that the address is that of the operators' port of a daemon.";
		return new DaemonUnreachableException("%s responded with status %d, expected 200".formatted(url, status),
				remedy, null);
	}

}
