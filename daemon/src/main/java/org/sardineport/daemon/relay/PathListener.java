package org.sardineport.daemon.relay;

import org.sardineport.core.backend.BackendServer;

/**
 * Is told when this daemon loses its path to a backend server and finds it again, on the
 * event loop.
 */
interface PathListener {

	/** Ignores all events. */
	PathListener NONE = new PathListener() {

		@Override
		public void pathLost(BackendServer server) {
		}

		@Override
		public void pathFound(BackendServer server) {
		}

	};

	/**
	 * Called when the path to a backend server is lost, while another daemon reaches it.
	 * @param server the backend server
	 */
	void pathLost(BackendServer server);

	/**
	 * Called when a backend server was reached directly again.
	 * @param server the backend server
	 */
	void pathFound(BackendServer server);

}
