package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker leaves; then the store comes back from a copy that does not know it. */
public final class ForgottenLeaving {

	private static final int DRAIN_MS = 2000;

	/** The worker serves for that long after the store has accepted its report. */
	private static final int SERVES_MS = 4000;

	/** Events of an answer, one each 60 ms: less than 2 s. */
	private static final int EVENTS = 30;

	private ForgottenLeaving() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Note note = new Note(Path.of(arguments[0]));
		Store store = new Store(note);
		Map<String, Long> sent = new ConcurrentHashMap<>();
		Map<String, Long> late = new ConcurrentHashMap<>();
		Set<String> whole = ConcurrentHashMap.newKeySet();
		long[] leftAt = { Long.MAX_VALUE / 2 };
		AtomicInteger ran = new AtomicInteger();
		Worker.Runs runs = (worker, request) -> {
			String id = request.headers.get("Request-Id");
			ran.incrementAndGet();
			note.write("worker " + worker.id + ": runs " + id);
			if (worker.id.equals("i-leaves") && sent.get(id) > leftAt[0] + DRAIN_MS) {
				late.put(id, sent.get(id) - leftAt[0]);
			}
		};
		List<Worker> workers = new ArrayList<>();
		for (String id : List.of("i-leaves", "i-stays-1", "i-stays-2")) {
			workers.add(new Worker(note, store, "valuer-llm", id, runs, EVENTS));
		}
		Worker leaving = workers.get(0);
		workers.get(1).beat(0);
		workers.get(2).beat(400);
		leaving.beat(800);
		store.put("keyed.op", "config", Config.document(7, "valuer-llm", "streaming", 12000, "key-one"));
		Fleet fleet = new Fleet(note, store.address(), 3);
		for (int i = 0; i < fleet.size(); i++) {
			fleet.start(i);
		}
		if (!fleet.awaitReady(40_000)) {
			note.say("could not run: the daemons are not ready");
			fleet.end();
			System.exit(2);
		}
		send(note, fleet, sent, whole, 2000);
		if (whole.size() < 10) {
			note.say("could not run: " + whole.size() + " streams were whole before");
			fleet.end();
			System.exit(2);
		}

		// No request for some seconds, in which a worker leaves.
		Map<String, List<byte[]>> copy = store.copy();
		note.write("store: a copy is taken");
		Threads.sleep(500);
		if (!leaving.drain()) {
			System.exit(2);
		}
		leftAt[0] = note.now();
		Threads.start("exit", () -> {
			Threads.sleep(SERVES_MS);
			leaving.exit();
		});
		Threads.sleep(2300);
		if (trouble) {
			note.write("store: away");
			store.leave();
			Threads.sleep(600);
			store.back(copy);
			note.write("store: back from the copy");
		}
		else {
			Threads.sleep(600);
		}
		send(note, fleet, sent, whole, 3000);
		boolean alive = fleet.allAlive();
		fleet.end();
		late.forEach((id, after) -> note.say("i-leaves runs " + id + ", sent " + after
				+ " ms after the store had accepted its report; its caller got "
				+ (whole.contains(id) ? "the whole stream" : "no whole stream")));
		note.say("streams asked for " + sent.size() + ", whole " + whole.size() + ", runs " + ran
				+ ", late at the leaving worker " + late.size());
		System.exit(!alive ? 2 : late.isEmpty() ? 0 : 10);
	}

	private static void send(Note note, Fleet fleet, Map<String, Long> sent, Set<String> whole, long forMs)
			throws InterruptedException {
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < 10 * fleet.size(); i++) {
			int daemon = i % fleet.size();
			int caller = i;
			threads.add(Threads.start("caller", () -> {
				long until = note.now() + forMs;
				Threads.sleep(40L * caller);
				for (int n = 0; note.now() < until; n++) {
					String id = "c%d-%d-%d".formatted(caller, until, n);
					sent.put(id, note.now());
					try {
						Http answer = Caller.call(fleet.ip(daemon), fleet.front(),
								Caller.stream(Config.HOST, "/cufi504/fi50/2f", id, "key-one"), 4000);
						boolean complete = new String(answer.body).contains("id: " + EVENTS + "\n");
						note.write("caller: " + id + " gets " + answer.status() + (complete ? ", whole" : ""));
						if (complete) {
							whole.add(id);
						}
					}
					catch (IOException ex) {
						note.write("caller: " + id + " gets " + ex);
					}
				}
			}));
		}
		for (Thread thread : threads) {
			thread.join();
		}
	}

}
