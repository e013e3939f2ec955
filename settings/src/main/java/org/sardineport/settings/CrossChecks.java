package org.sardineport.settings;

import java.time.Duration;

import org.sardineport.settings.yaml.Formats;
import org.sardineport.settings.yaml.Section;

/**
 * Checks that span several settings.
 */
final class CrossChecks {

	/** Time within which a leaving backend server must stop to receive new work. */
	private static final Duration LEAVING_BOUND = Duration.ofSeconds(3);

	private CrossChecks() {
	}

	static void check(Section root, CallerSettings callers, SchedulingSettings scheduling, JournalSettings journal,
			MembershipSettings membership, StopSettings stop) {
		checkStop(root, callers, stop);
		checkScheduling(root, scheduling);
		checkJournal(root, callers, journal);
		checkMembership(root, membership);
	}

	private static void checkStop(Section root, CallerSettings callers, StopSettings stop) {
		if (stop.linger().compareTo(callers.keepTime()) <= 0) {
			root.fault("stop", "linger " + Formats.show(stop.linger()),
					"write a linger above callers.keepTime, which is %s, so that no caller is turned away by a stop"
						.formatted(Formats.show(callers.keepTime())));
		}
		if (!stop.limit().isZero() && stop.limit().compareTo(stop.linger()) <= 0) {
			root.fault("stop", "limit " + Formats.show(stop.limit()),
					"write 0s for no limit, or more than the linger of " + Formats.show(stop.linger()));
		}
	}

	private static void checkScheduling(Section root, SchedulingSettings scheduling) {
		Duration leaving = scheduling.loadReportInterval()
			.plus(scheduling.ownerTimeout())
			.plus(scheduling.permitLifetime());
		if (leaving.compareTo(LEAVING_BOUND) > 0) {
			root.fault("scheduling",
					"loadReportInterval, ownerTimeout and permitLifetime of %s together"
						.formatted(Formats.show(leaving)),
					"write at most %s together, so that a leaving backend server gets no new work after that time"
						.formatted(Formats.show(LEAVING_BOUND)));
		}
	}

	private static void checkJournal(Section root, CallerSettings callers, JournalSettings journal) {
		if (journal.takeoverAfter().compareTo(journal.replayWindow()) >= 0) {
			root.fault("journal", "takeoverAfter " + Formats.show(journal.takeoverAfter()),
					"write less than the replayWindow of " + Formats.show(journal.replayWindow()));
		}
		if (callers.bodyTimeout().compareTo(journal.replayWindow()) >= 0) {
			root.fault("journal", "replayWindow " + Formats.show(journal.replayWindow()),
					"write more than callers.bodyTimeout, which is " + Formats.show(callers.bodyTimeout()));
		}
	}

	private static void checkMembership(Section root, MembershipSettings membership) {
		if (membership.probeTimeout().compareTo(membership.probeInterval()) >= 0) {
			root.fault("membership", "probeTimeout " + Formats.show(membership.probeTimeout()),
					"write less than the probeInterval of " + Formats.show(membership.probeInterval()));
		}
		if (membership.suspicionTimeout().compareTo(membership.probeInterval()) < 0) {
			root.fault("membership", "suspicionTimeout " + Formats.show(membership.suspicionTimeout()),
					"write at least the probeInterval of " + Formats.show(membership.probeInterval()));
		}
	}

}
