package org.sardineport.daemon.http;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.sardineport.core.entry.EntryResponse;
import org.sardineport.core.entry.EntrySelector;
import org.sardineport.core.fleet.FleetView;
import org.sardineport.core.identity.NetworkAddress;

/**
 * Serves the list of entry addresses for callers.
 */
final class EntryResource {

	private final FleetView fleet;

	private final Duration keepTime;

	private final ObjectMapper json = new ObjectMapper();

	EntryResource(FleetView fleet, Duration keepTime) {
		this.fleet = fleet;
		this.keepTime = keepTime;
	}

	void respond(HttpResponseSink sink) {
		EntryResponse entry = select();
		List<String> addresses = entry.addresses().stream().map(NetworkAddress::toString).toList();
		byte[] body = toBytes(new EntryJson(addresses, entry.keepTime().toSeconds()));
		sink.head(200,
				List.of(Map.entry("Content-Type", "application/json"),
						Map.entry("Cache-Control", "max-age=" + this.keepTime.toSeconds()),
						Map.entry("Content-Length", Integer.toString(body.length))));
		sink.chunk(ByteBuffer.wrap(body));
		sink.end();
	}

	List<NetworkAddress> addresses() {
		return select().addresses();
	}

	private EntryResponse select() {
		return EntrySelector.create(this.keepTime, ThreadLocalRandom.current()).select(this.fleet.current());
	}

	private byte[] toBytes(EntryJson response) {
		try {
			return this.json.writeValueAsBytes(response);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("an entry response must be serializable to JSON", ex);
		}
	}

}
