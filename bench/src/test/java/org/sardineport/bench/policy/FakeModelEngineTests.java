package org.sardineport.bench.policy;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.sardineport.core.admission.RunEnd;
import org.sardineport.core.admission.RunMeasurement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests for {@link FakeModelEngine}.
 */
class FakeModelEngineTests {

	private final VirtualTimeline time = new VirtualTimeline();

	private final FakeModelEngine engine = new FakeModelEngine(Site.BAGMATI.servers().get(0), EngineSpeed.FAST,
			this.time);

	private final List<Job> completed = new ArrayList<>();

	private Job run(int index) {
		Job job = Workload.of(Site.BAGMATI, LoadCase.STEADY_70, 1).get(index).job();
		job.dispatch(this.engine, this.time.millisNow(), () -> this.completed.add(job));
		this.engine.admit(job);
		return job;
	}

	private void finish() {
		while (this.time.runNext()) {
			assertThat(this.time.millisNow()).isLessThan(1e6);
		}
	}

	@Test
	void completesARequestAndMeasuresIt() {
		Job job = run(0);
		finish();
		assertThat(this.completed).containsExactly(job);
		RunMeasurement measurement = job.measurement(RunEnd.COMPLETED, this.time.millisNow());
		assertThat(measurement.answerTokens()).isEqualTo(job.answerTokens());
		assertThat(measurement.timeToFirstToken()).isPositive().isLessThan(measurement.duration());
	}

	@Test
	void cachesThePrefixOfAnEarlierPrompt() {
		run(0);
		finish();
		Job again = run(0);
		finish();
		assertThat(again.cachedTokens()).isPositive();
		assertThat(again.prefilledTokens() + again.cachedTokens()).isEqualTo(again.request().estimate().prompt());
	}

	@Test
	void cancelledRequestsDoNotComplete() {
		Job job = run(0);
		this.engine.cancel(job);
		finish();
		assertThat(this.completed).isEmpty();
	}

	@Test
	void rejectsASecondDispatchOfARequest() {
		Job job = run(0);
		assertThatIllegalStateException().isThrownBy(() -> job.dispatch(this.engine, 0, () -> {
		}));
	}

}
