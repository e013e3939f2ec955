package org.sardineport.daemon.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.sardineport.core.identity.NetworkAddress;
import org.sardineport.core.lifecycle.Service;
import org.sardineport.core.port.log.LogFailure;
import org.sardineport.core.port.log.LogRecord;
import org.sardineport.core.port.log.LogService;
import org.sardineport.core.port.log.LogServiceException;
import org.sardineport.core.port.log.LogSlice;

/**
 * HTTP client for the log service. A call fails with {@link LogFailure#UNAVAILABLE} only
 * if no byte of the request was sent or the service reports that it had no effect; a
 * failure after which an append may have taken effect is {@link LogFailure#UNKNOWN}.
 * Requests are not retried. Thread-safe.
 */
public final class HttpLogService implements LogService, Service {

	private static final int MAX_CONNECTIONS = 64;

	private static final int STATUS_OK = 200;

	private static final int STATUS_GONE = 410;

	private static final int STATUS_TOO_LARGE = 413;

	private static final int RECORD_HEADER_BYTES = 2 * Long.BYTES + Integer.BYTES;

	private final HttpClient client;

	private final NetworkAddress address;

	private final Duration timeout;

	private HttpLogService(HttpClient client, NetworkAddress address, Duration timeout) {
		this.client = client;
		this.address = Objects.requireNonNull(address, "address must not be null");
		this.timeout = Objects.requireNonNull(timeout, "timeout must not be null");
	}

	/**
	 * Creates a client whose connections run on the event loops of the given instance.
	 * @param vertx the instance; not closed by {@link #stop()}
	 * @param address address of the log service
	 * @param timeout time to wait for a connection, and again for the response; a read
	 * waits for its response longer by its own wait time
	 * @return the client
	 */
	public static HttpLogService create(Vertx vertx, NetworkAddress address, Duration timeout) {
		HttpClientOptions options = new HttpClientOptions().setConnectTimeout((int) timeout.toMillis());
		PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS);
		return new HttpLogService(vertx.createHttpClient(options, pool), address, timeout);
	}

	@Override
	public CompletionStage<Void> start() {
		return Future.<Void>succeededFuture().toCompletionStage();
	}

	@Override
	public CompletionStage<Void> stop() {
		return this.client.close().toCompletionStage();
	}

	@Override
	public CompletionStage<Long> append(String stream, byte[] value) {
		Objects.requireNonNull(value, "value must not be null");
		return connect(HttpMethod.POST, path(stream))
			.compose((request) -> exchange(request, Buffer.buffer(value), this.timeout, HttpLogService::readOffset))
			.toCompletionStage();
	}

	@Override
	public CompletionStage<LogSlice> read(String stream, long fromOffset, int maximumRecords, Duration wait) {
		if (maximumRecords < 1) {
			throw new IllegalArgumentException("maximumRecords must be at least 1, found " + maximumRecords);
		}
		String uri = path(stream)
				+ "?from=%d&maximum=%d&wait=%d".formatted(fromOffset, maximumRecords, wait.toMillis());
		return connect(HttpMethod.GET, uri)
			.compose(
					(request) -> exchange(request, Buffer.buffer(), this.timeout.plus(wait), HttpLogService::readSlice))
			.toCompletionStage();
	}

	private static String path(String stream) {
		return "/v1/streams/" + Objects.requireNonNull(stream, "stream must not be null") + "/records";
	}

	// No byte of the request has been sent if this fails.
	private Future<HttpClientRequest> connect(HttpMethod method, String uri) {
		RequestOptions options = new RequestOptions().setMethod(method)
			.setHost(this.address.ip())
			.setPort(this.address.port())
			.setURI(uri)
			.setConnectTimeout(this.timeout.toMillis());
		return this.client.request(options)
			.recover((error) -> Future.failedFuture(
					LogServiceException.of(LogFailure.UNAVAILABLE, "could not connect to the log service", error)));
	}

	// The request may have been sent, in part or whole, if this fails.
	private <T> Future<T> exchange(HttpClientRequest request, Buffer body, Duration responseTimeout,
			ResponseReader<T> reader) {
		return request.send(body)
			.compose((response) -> response.body().compose((bytes) -> read(reader, response, bytes)))
			.timeout(responseTimeout.toMillis(), TimeUnit.MILLISECONDS)
			.recover((error) -> {
				request.reset();
				return Future.failedFuture(toLogServiceException(error));
			});
	}

	private static <T> Future<T> read(ResponseReader<T> reader, HttpClientResponse response, Buffer body) {
		try {
			if (response.statusCode() != STATUS_OK) {
				return Future.failedFuture(failureOf(response, body));
			}
			return Future.succeededFuture(reader.read(response, body));
		}
		catch (IndexOutOfBoundsException | IllegalArgumentException ex) {
			return Future.failedFuture(ex);
		}
	}

	private static LogServiceException failureOf(HttpClientResponse response, Buffer body) {
		boolean noEffect = "none".equals(response.getHeader("Log-Effect"));
		LogFailure failure = switch (response.statusCode()) {
			case STATUS_GONE -> LogFailure.OFFSET_EXPIRED;
			case STATUS_TOO_LARGE -> (noEffect) ? LogFailure.RECORD_TOO_LARGE : LogFailure.UNKNOWN;
			default -> (noEffect) ? LogFailure.UNAVAILABLE : LogFailure.UNKNOWN;
		};
		return LogServiceException.of(failure,
				"log service responded with status %d: %s".formatted(response.statusCode(), body));
	}

	private static LogServiceException toLogServiceException(Throwable error) {
		return (error instanceof LogServiceException typed) ? typed
				: LogServiceException.of(LogFailure.UNKNOWN, "no valid response from the log service", error);
	}

	private static Long readOffset(HttpClientResponse response, Buffer body) {
		return Long.valueOf(response.getHeader("Log-Offset"));
	}

	private static LogSlice readSlice(HttpClientResponse response, Buffer body) {
		List<LogRecord> records = new ArrayList<>();
		int position = 0;
		while (position < body.length()) {
			int length = body.getInt(position + 2 * Long.BYTES);
			int start = position + RECORD_HEADER_BYTES;
			records.add(new LogRecord(body.getLong(position), Instant.ofEpochMilli(body.getLong(position + Long.BYTES)),
					body.getBytes(start, start + length)));
			position = start + length;
		}
		return new LogSlice(records, Long.parseLong(response.getHeader("Log-Next-Offset")),
				Long.parseLong(response.getHeader("Log-End-Offset")));
	}

	/**
	 * Parses a response with status 200.
	 *
	 * @param <T> type of the parsed value
	 */
	@FunctionalInterface
	private interface ResponseReader<T> {

		T read(HttpClientResponse response, Buffer body);

	}

}
