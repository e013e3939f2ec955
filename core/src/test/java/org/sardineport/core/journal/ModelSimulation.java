package org.sardineport.core.journal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.sardineport.core.identity.DaemonId;

/**
 * Simulation of two daemons that get the same request, one partition of the log, and a
 * counter of runs. A step that violates an invariant throws an {@link AssertionError}.
 */
final class ModelSimulation {

	private static final int DAEMONS = 2;

	private final ModelVariant variant;

	private final KeyedRequest request;

	private final List<List<JournalEntry>> log = new ArrayList<>();

	private final List<List<JournalEntry>> late = new ArrayList<>();

	private final Set<Integer> suspected = new HashSet<>();

	private final List<ModelDaemon> daemons = new ArrayList<>();

	private final int clocks;

	private int remainingFaults;

	private boolean settling;

	private int runs;

	private String runToken = "";

	private int notRunUpTo;

	private final Set<DaemonId> notRunBy = new HashSet<>();

	ModelSimulation(ModelVariant variant, int faults, int clocks) {
		this.variant = variant;
		this.clocks = clocks;
		this.remainingFaults = faults;
		this.request = KeyedRequests.of("key", 1, true, ModelDaemon.START, ModelDaemon.REQUEST_TIMEOUT);
		for (int number = 0; number < DAEMONS; number++) {
			this.daemons.add(new ModelDaemon(this, number));
		}
	}

	List<ModelStep> possible() {
		List<ModelStep> steps = new ArrayList<>();
		for (int number = 0; number < DAEMONS; number++) {
			for (ModelStep.Kind kind : this.daemons.get(number).possible()) {
				if (!kind.isFault() || this.remainingFaults > 0) {
					steps.add(new ModelStep(kind, number));
				}
			}
		}
		for (int number = 0; number < this.late.size(); number++) {
			steps.add(new ModelStep(ModelStep.Kind.DELIVER_LATE, number));
		}
		return steps;
	}

	void apply(ModelStep step) {
		if (step.kind().isFault()) {
			this.remainingFaults--;
		}
		if (step.kind() == ModelStep.Kind.DELIVER_LATE) {
			this.log.add(this.late.remove(step.daemon()));
		}
		else {
			this.daemons.get(step.daemon()).apply(step.kind());
		}
	}

	void endFaults() {
		this.remainingFaults = 0;
		this.settling = true;
	}

	// Applies the preferred step that is not a fault. Returns false if there is none;
	// every daemon alive must then have finished its request.
	boolean settleOneStep() {
		ModelStep next = possible().stream()
			.filter((step) -> !step.kind().isFault())
			.min(Comparator.comparing(ModelStep::kind))
			.orElse(null);
		if (next != null) {
			apply(next);
			return true;
		}
		boolean settled = this.daemons.stream().filter(ModelDaemon::isAlive).allMatch(ModelDaemon::isSettled);
		if (!settled) {
			throw new AssertionError("request was never completed: " + this);
		}
		return false;
	}

	// Runs all daemons to the end except the paused one.
	void settleAllBut(int paused) {
		endFaults();
		boolean progressed = true;
		while (progressed) {
			ModelStep next = possible().stream()
				.filter((step) -> step.kind() != ModelStep.Kind.DELIVER_LATE && step.daemon() != paused)
				.min(Comparator.comparing(ModelStep::kind))
				.orElse(null);
			progressed = next != null;
			if (progressed) {
				apply(next);
			}
		}
	}

	int runs() {
		return this.runs;
	}

	void run(JournalClaim claim) {
		this.runs++;
		if (this.runs > 1) {
			throw new AssertionError("ran twice");
		}
		this.runToken = claim.token();
		checkNotRun();
	}

	/**
	 * Records that not-run was reported to a caller.
	 * @param daemon index of the daemon that reported it
	 * @param position position in the log before which nothing may have been dispatched
	 */
	void reportedNotRun(int daemon, int position) {
		this.notRunUpTo = Math.max(this.notRunUpTo, position);
		this.notRunBy.add(DaemonId.of("d" + daemon));
		checkNotRun();
	}

	private void checkNotRun() {
		if (this.runs == 0 || this.notRunBy.isEmpty()) {
			return;
		}
		if (positionOf(this.runToken) < this.notRunUpTo) {
			throw new AssertionError("reported not-run after it was dispatched");
		}
		String token = this.runToken;
		while (!token.isEmpty()) {
			JournalEntry.Accepted accepted = acceptedBy(token);
			if (accepted == null) {
				return;
			}
			if (accepted.deadline().equals(this.request.deadline()) && this.notRunBy.contains(accepted.holder())) {
				throw new AssertionError("reported not-run, but its claim was run");
			}
			token = accepted.supersedes();
		}
	}

	private JournalEntry.@Nullable Accepted acceptedBy(String token) {
		for (List<JournalEntry> entries : this.log) {
			for (JournalEntry entry : entries) {
				if (entry instanceof JournalEntry.Accepted accepted && accepted.token().equals(token)) {
					return accepted;
				}
			}
		}
		return null;
	}

	private int positionOf(String token) {
		for (int position = 0; position < this.log.size(); position++) {
			for (JournalEntry entry : this.log.get(position)) {
				if (entry instanceof JournalEntry.Dispatched && entry.token().equals(token)) {
					return position;
				}
			}
		}
		return Integer.MAX_VALUE;
	}

	ModelVariant variant() {
		return this.variant;
	}

	KeyedRequest request() {
		return this.request;
	}

	List<List<JournalEntry>> log() {
		return this.log;
	}

	List<List<JournalEntry>> late() {
		return this.late;
	}

	// The daemons are identical, so the first arrival is fixed to the first daemon to
	// reduce the number of states.
	boolean isNextToArrive(int daemon) {
		return daemon == 0 || this.settling || this.daemons.get(daemon - 1).hasArrived();
	}

	// Returns whether the clock of the daemon may advance. The others advance only while
	// settling.
	boolean hasClock(int daemon) {
		return daemon < this.clocks || this.settling;
	}

	boolean isSuspected(int daemon) {
		return this.suspected.contains(daemon);
	}

	boolean isSuspected(DaemonId daemon) {
		return this.suspected.stream().anyMatch((number) -> daemon.equals(DaemonId.of("d" + number)));
	}

	void suspect(int daemon) {
		this.suspected.add(daemon);
	}

	@Override
	public String toString() {
		return this.runs + "|" + this.runToken + "|" + this.notRunUpTo + "|" + this.notRunBy + "|"
				+ this.remainingFaults + "|" + this.suspected + "|" + entryIds(this.log) + "|" + entryIds(this.late)
				+ "|" + this.daemons;
	}

	private static List<List<EntryId>> entryIds(List<List<JournalEntry>> records) {
		return records.stream().map((record) -> record.stream().map(EntryId::of).toList()).toList();
	}

}
