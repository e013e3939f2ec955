package org.sardineport.daemon.platform;

import org.sardineport.core.port.log.LogService;
import org.sardineport.standins.log.InMemoryLogService;

/**
 * Runs the log service contract against the in-memory fake.
 */
class InMemoryLogServiceTests extends LogServiceContract {

	private final InMemoryLogService service = InMemoryLogService.create();

	@Override
	LogService log() {
		return this.service;
	}

	@Override
	InMemoryLogService service() {
		return this.service;
	}

}
