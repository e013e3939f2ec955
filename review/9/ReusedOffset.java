package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The store comes back from a copy; a version that takes a key away gets an offset again. */
public final class ReusedOffset {

	private static final int REVOKE_MS = 5000;

	private ReusedOffset() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Note note = new Note(Path.of(arguments[0]));
		Store store = new Store(note);
		Map<String, Long> sent = new ConcurrentHashMap<>();
		List<String> late = new ArrayList<>();
		long[] revokedAt = { Long.MAX_VALUE / 2 };
		Worker.Runs runs = (worker, request) -> {
			String id = request.headers.get("Request-Id");
			note.write("worker " + worker.id + ": runs " + id);
			if (id.startsWith("taken") && sent.get(id) > revokedAt[0] + REVOKE_MS) {
				synchronized (late) {
					late.add(id + ", sent " + (sent.get(id) - revokedAt[0])
							+ " ms after the confirmation of the version without its key");
				}
			}
		};
		for (int i = 0; i < 3; i++) {
			new Worker(note, store, "case-ledger", "i-" + i, runs).beat(400L * i);
		}
		put(note, store, 7, 1500, "key-kept", "key-taken");
		Fleet fleet = new Fleet(note, store.address(), 3);
		for (int i = 0; i < fleet.size(); i++) {
			fleet.start(i);
		}
		if (!fleet.awaitReady(40_000)) {
			note.say("could not run: the daemons are not ready");
			fleet.end();
			System.exit(2);
		}
		Map<String, List<byte[]>> copy = store.copy();
		note.write("store: a copy is taken");
		Threads.sleep(500);
		put(note, store, 9, 1400, "key-kept", "key-taken");
		Threads.sleep(1000);
		put(note, store, 12, 1300, "key-kept", "key-taken");
		Threads.sleep(1000);
		AtomicInteger answered = new AtomicInteger();
		send(note, fleet, sent, answered, "taken", 1, 300);
		if (trouble) {
			note.write("store: away");
			store.leave();
			Threads.sleep(700);
			synchronized (store) {
				store.back(copy);
				note.write("store: back from the copy");
				// The operator writes the newest version again, and the one that it
				// holds ready.
				put(note, store, 12, 1300, "key-kept", "key-taken");
				put(note, store, 15, 1300, "key-kept");
			}
		}
		else {
			Threads.sleep(700);
			put(note, store, 15, 1300, "key-kept");
		}
		revokedAt[0] = note.now();
		send(note, fleet, sent, answered, "taken", 80, 100);
		AtomicInteger keptAnswered = new AtomicInteger();
		send(note, fleet, sent, keptAnswered, "kept", 5, 100);
		boolean alive = fleet.allAlive();
		fleet.end();
		synchronized (late) {
			late.forEach((each) -> note.say("ran " + each));
			note.say("requests sent " + sent.size() + ", with the key taken away answered with 200 " + answered
					+ ", with the other key " + keptAnswered + ", runs beyond " + REVOKE_MS + " ms " + late.size());
			System.exit((!alive || keptAnswered.get() < 5) ? 2 : late.isEmpty() ? 0 : 10);
		}
	}

	private static void put(Note note, Store store, int version, int timeoutMs, String... keys) {
		int offset = store.put("keyed.op", "config",
				Config.document(version, "case-ledger", "idempotent", timeoutMs, keys));
		note.write("operator: version " + version + " with " + List.of(keys) + " is confirmed, offset " + offset);
	}

	private static void send(Note note, Fleet fleet, Map<String, Long> sent, AtomicInteger answered, String which,
			int count, long everyMs) throws InterruptedException {
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < fleet.size(); i++) {
			int daemon = i;
			threads.add(Threads.start("caller", () -> {
				for (int n = 0; n < count; n++) {
					String id = "%s-%d-%d-%d".formatted(which, daemon, note.now(), n);
					sent.put(id, note.now());
					try {
						Http answer = Caller.call(fleet.ip(daemon), fleet.front(),
								Caller.get(Config.HOST, "/cufi504/fi50/2f", id, "key-" + which), 2000);
						note.write("caller: " + id + " gets " + answer.status());
						if (answer.status() == 200) {
							answered.incrementAndGet();
						}
					}
					catch (IOException ex) {
						note.write("caller: " + id + " gets " + ex);
					}
					Threads.sleep(everyMs);
				}
			}));
		}
		for (Thread thread : threads) {
			thread.join();
		}
	}

}
