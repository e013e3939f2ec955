import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Writes down what was sent, answered and run. */
final class Transcript {

	/** A run of a request at a worker. */
	record Run(String requestId, String worker, String tenant, String start, int bodyLength, long atMillis) {
	}

	private final long startedAt = System.nanoTime();

	private final PrintWriter out;

	final List<Run> runs = new ArrayList<>();

	Transcript(Path file) throws IOException {
		this.out = new PrintWriter(file.toFile());
	}

	long millis() {
		return (System.nanoTime() - this.startedAt) / 1_000_000;
	}

	synchronized void line(String text) {
		this.out.printf("%8.3f %s%n", millis() / 1000.0, text);
		this.out.flush();
	}

	synchronized void ran(String requestId, String worker, Http.Message request) {
		Run run = new Run(requestId, worker, request.header("Tenant"), request.start, request.body.length, millis());
		this.runs.add(run);
		line("RUN    " + requestId + " at " + worker + " tenant=" + run.tenant() + " \"" + run.start() + "\" body="
				+ run.bodyLength());
	}

	synchronized List<Run> allRuns() {
		return List.copyOf(this.runs);
	}

	synchronized List<Run> runsOf(String requestId) {
		return this.runs.stream().filter((run) -> run.requestId().equals(requestId)).toList();
	}

}
