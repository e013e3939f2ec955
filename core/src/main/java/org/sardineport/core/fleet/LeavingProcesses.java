package org.sardineport.core.fleet;

import java.util.HashSet;
import java.util.Set;

import org.sardineport.core.backend.BackendProcess;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.port.platform.VmListing;

/**
 * Processes of backend servers that have said in a response that they are leaving. That
 * ends with the next process under the name, not with time or with a listing that does
 * not know it yet. Not safe for use by several threads.
 */
final class LeavingProcesses {

	/** Number of processes above which those that are not listed are dropped. */
	private static final int MAX_UNLISTED = 1024;

	private final Set<BackendProcess> processes = new HashSet<>();

	boolean add(BackendProcess process) {
		return this.processes.add(process);
	}

	boolean contains(BackendServer server) {
		return this.processes.contains(server.process());
	}

	boolean isEmpty() {
		return this.processes.isEmpty();
	}

	/**
	 * Records that another process is listed under the name of a former one. Has an
	 * effect only if the platform lists no start times, so that both are equal.
	 * @param server the backend server as listed now
	 */
	void restarted(BackendServer server) {
		if (server.startedAt().equals(BackendServer.START_UNKNOWN)) {
			this.processes.remove(server.process());
		}
	}

	/**
	 * Records that a server is listed no more, so that what comes back under its name is
	 * another process. Has an effect only if the platform lists no start times.
	 * @param server name of the backend server
	 */
	void ended(BackendServerId server) {
		this.processes.remove(new BackendProcess(server, BackendServer.START_UNKNOWN));
	}

	void dropUnlistedIfMany(VmListing listing) {
		if (this.processes.size() <= MAX_UNLISTED) {
			return;
		}
		Set<BackendProcess> listed = new HashSet<>();
		listing.backendServers().forEach((each) -> listed.add(each.server().process()));
		this.processes.retainAll(listed);
	}

}
