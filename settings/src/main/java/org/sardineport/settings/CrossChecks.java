package org.sardineport.settings;

import java.time.Duration;

import org.sardineport.settings.yaml.Formats;
import org.sardineport.settings.yaml.Section;

/**
 * Checks relations between several settings.
 */
final class CrossChecks {

	/** Time after which a leaving backend server must receive no new requests. */
	private static final Duration MAX_LEAVING_DELAY = Duration.ofSeconds(3);

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
			root.fault("stop", "linger " + Formats.formatDuration(stop.linger()),
					"write a linger above callers.keepTime, which is %s, so that no caller is turned away by a stop"
						.formatted(Formats.formatDuration(callers.keepTime())));
		}
		if (!stop.limit().isZero() && stop.limit().compareTo(stop.linger()) <= 0) {
			root.fault("stop", "limit " + Formats.formatDuration(stop.limit()),
					"write 0s for no limit, or more than the linger of " + Formats.formatDuration(stop.linger()));
		}
	}

	private static void checkScheduling(Section root, SchedulingSettings scheduling) {
		Duration leavingDelay = scheduling.loadReportInterval()
			.plus(scheduling.ownerTimeout())
			.plus(scheduling.permitLifetime());
		if (leavingDelay.compareTo(MAX_LEAVING_DELAY) > 0) {
			root.fault("scheduling",
					"loadReportInterval, ownerTimeout and permitLifetime of %s together"
						.formatted(Formats.formatDuration(leavingDelay)),
					"write at most %s together, so that a leaving backend server gets no new work after that time"
						.formatted(Formats.formatDuration(MAX_LEAVING_DELAY)));
		}
	}

	private static void checkJournal(Section root, CallerSettings callers, JournalSettings journal) {
		if (journal.takeoverAfter().compareTo(journal.replayWindow()) >= 0) {
			root.fault("journal", "takeoverAfter " + Formats.formatDuration(journal.takeoverAfter()),
					"write less than the replayWindow of " + Formats.formatDuration(journal.replayWindow()));
		}
		if (callers.bodyTimeout().compareTo(journal.replayWindow()) >= 0) {
			root.fault("journal", "replayWindow " + Formats.formatDuration(journal.replayWindow()),
					"write more than callers.bodyTimeout, which is " + Formats.formatDuration(callers.bodyTimeout()));
		}
	}

	private static void checkMembership(Section root, MembershipSettings membership) {
		if (membership.probeTimeout().compareTo(membership.probeInterval()) >= 0) {
			root.fault("membership", "probeTimeout " + Formats.formatDuration(membership.probeTimeout()),
					"write less than the probeInterval of " + Formats.formatDuration(membership.probeInterval()));
		}
		if (membership.suspicionTimeout().compareTo(membership.probeInterval()) < 0) {
			root.fault("membership", "suspicionTimeout " + Formats.formatDuration(membership.suspicionTimeout()),
					"write at least the probeInterval of " + Formats.formatDuration(membership.probeInterval()));
		}
	}

}
