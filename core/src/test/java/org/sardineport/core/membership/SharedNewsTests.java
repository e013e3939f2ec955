package org.sardineport.core.membership;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.sardineport.core.identity.BackendServerId;
import org.sardineport.core.request.Fingerprint;

import static org.assertj.core.api.Assertions.assertThat;

class SharedNewsTests {

	private static final Instant NOW = Instant.parse("2026-12-03T08:00:00Z");

	private static final BackendServerId WORKER = BackendServerId.of("worker");

	private final SharedNews news = new SharedNews();

	private static StrikeNews strike(Duration remaining) {
		return new StrikeNews(Fingerprint.of(1, 2), WORKER, remaining);
	}

	@Test
	void hearsAStrikeOnceAndTellsItsTimeLeft() {
		assertThat(this.news.add(strike(Duration.ofSeconds(60)), NOW)).isTrue();
		assertThat(this.news.add(strike(Duration.ofSeconds(60)), NOW.plusSeconds(1))).isFalse();
		assertThat(this.news.takeStrikes(4, 3, NOW.plusSeconds(20))).containsExactly(strike(Duration.ofSeconds(40)));
	}

	@Test
	void hearsAStrikeAgainAfterItsEnd() {
		this.news.add(strike(Duration.ofSeconds(60)), NOW);
		assertThat(this.news.takeStrikes(4, 3, NOW.plusSeconds(60))).isEmpty();
		this.news.forgetEnded(NOW.plusSeconds(60));
		assertThat(this.news.add(strike(Duration.ofSeconds(60)), NOW.plusSeconds(61))).isTrue();
	}

	@Test
	void keepsTheAgeOfTheNewsThatABackendServerLeaves() {
		assertThat(this.news.add(new LeavingNews(WORKER, Duration.ofSeconds(2)), NOW)).isTrue();
		assertThat(this.news.takeLeaving(4, 3, NOW.plusSeconds(3)))
			.containsExactly(new LeavingNews(WORKER, Duration.ofSeconds(5)));
	}

	@Test
	void takesNoNewsThatAreTooOld() {
		assertThat(this.news.add(new LeavingNews(WORKER, SharedNews.LEAVING_RETENTION), NOW)).isFalse();
	}

}
