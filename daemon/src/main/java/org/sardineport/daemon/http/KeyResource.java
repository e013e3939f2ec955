package org.sardineport.daemon.http;

import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import org.sardineport.core.exchange.AdmissionCheck;
import org.sardineport.core.exchange.RefusedException;
import org.sardineport.core.identity.OrganisationId;
import org.sardineport.core.journal.KeyPhase;
import org.sardineport.core.journal.KeyState;
import org.sardineport.core.request.Refusal;
import org.sardineport.core.request.RefusalReason;
import org.sardineport.daemon.exchange.JoinedResponse;

/**
 * Serves the state of a keyed request, or its stored response once the request has
 * finished.
 */
final class KeyResource {

	private static final int STATUS_OK = 200;

	private static final int STATUS_NOT_FOUND = 404;

	private final Vertx vertx;

	private final CallerServices services;

	private final ObjectMapper json = new ObjectMapper();

	KeyResource(Vertx vertx, CallerServices services) {
		this.vertx = vertx;
		this.services = services;
	}

	void respond(HttpServerRequest request, String encodedKey, HttpResponseSink sink) {
		try {
			OrganisationId organisation = AdmissionCheck
				.checkOrganisation(this.services.configuration().current(), request.headers()::getAll)
				.organisation();
			lookup(organisation, URLDecoder.decode(encodedKey, StandardCharsets.UTF_8), sink);
		}
		catch (IllegalArgumentException ex) {
			sink.refuse(Refusal.of(RefusalReason.KEY_INVALID, "The key in the path is not well encoded."));
		}
		catch (RefusedException ex) {
			sink.refuse(ex.refusal());
		}
	}

	private void lookup(OrganisationId organisation, String key, HttpResponseSink sink) {
		if (!this.services.journal().isReady()) {
			sink.refuse(Refusal.of(RefusalReason.JOURNAL_UNAVAILABLE, "The journal has not been read yet."));
			return;
		}
		ContextExecutor executor = ContextExecutor.ofCurrent(this.vertx);
		this.services.journal()
			.lookup(organisation, key)
			.whenComplete((state, failure) -> executor.execute(() -> respondWith(key, state, sink)));
	}

	private void respondWith(String key, KeyState state, HttpResponseSink sink) {
		if (state.phase() == KeyPhase.FINISHED && state.response() != null) {
			JoinedResponse.deliver(state, sink);
			return;
		}
		String outcome = (state.outcome() != null) ? state.outcome().label() : null;
		byte[] body = toBytes(new KeyStateJson(key, state.phase().name().toLowerCase(Locale.ROOT), outcome));
		sink.head((state.phase() == KeyPhase.ABSENT) ? STATUS_NOT_FOUND : STATUS_OK,
				List.of(Map.entry("Content-Type", "application/json"),
						Map.entry("Content-Length", Integer.toString(body.length))));
		sink.chunk(ByteBuffer.wrap(body));
		sink.end();
	}

	private byte[] toBytes(KeyStateJson response) {
		try {
			return this.json.writeValueAsBytes(response);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a key state must be serializable to JSON", ex);
		}
	}

}
