package org.sardineport.daemon.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import org.sardineport.core.port.backend.EngineOrder;

/**
 * JSON form of an engine order, as exchanged with model engines.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record OrderJson(EngineOrder.Kind kind, String argument, long fencingNumber) {

	static OrderJson of(EngineOrder order) {
		return new OrderJson(order.kind(), order.argument(), order.fencingNumber());
	}

	EngineOrder toOrder() {
		return new EngineOrder(this.kind, this.argument, this.fencingNumber);
	}

}
