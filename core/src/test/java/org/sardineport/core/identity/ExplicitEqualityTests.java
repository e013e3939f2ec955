package org.sardineport.core.identity;

import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sardineport.core.backend.BackendKind;
import org.sardineport.core.backend.BackendServer;
import org.sardineport.core.backend.SoftwareVersion;
import org.sardineport.core.fleet.FleetSnapshot;
import org.sardineport.core.fleet.Member;
import org.sardineport.core.fleet.MemberStatus;
import org.sardineport.core.request.Fingerprint;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against records with explicit {@code equals} and {@code hashCode} that omit a
 * component from the comparison, for example one added later.
 */
class ExplicitEqualityTests {

	private static final NetworkAddress ADDRESS = NetworkAddress.of("10.0.0.1", 1);

	private static final Member MEMBER = new Member(DaemonId.of("a"), 1, MemberStatus.ALIVE, FailureDomain.of("a"),
			ADDRESS, ADDRESS, 1, 1);

	/** Two unequal values for each component type. */
	private static final Map<Class<?>, List<Object>> SAMPLE_VALUES = Map.ofEntries(
			Map.entry(String.class, List.of("10.0.0.1", "10.0.0.2")), Map.entry(int.class, List.of(1, 2)),
			Map.entry(long.class, List.of(1L, 2L)),
			Map.entry(BackendServerId.class, List.of(BackendServerId.of("a"), BackendServerId.of("b"))),
			Map.entry(DaemonId.class, List.of(DaemonId.of("a"), DaemonId.of("b"))),
			Map.entry(PoolName.class, List.of(PoolName.of("a"), PoolName.of("b"))),
			Map.entry(FailureDomain.class, List.of(FailureDomain.of("a"), FailureDomain.of("b"))),
			Map.entry(NetworkAddress.class, List.of(ADDRESS, NetworkAddress.of("10.0.0.2", 1))),
			Map.entry(BackendKind.class, List.of(BackendKind.MODEL_ENGINE, BackendKind.PLAIN_SERVICE)),
			Map.entry(MemberStatus.class, List.of(MemberStatus.ALIVE, MemberStatus.DEAD)),
			Map.entry(SoftwareVersion.class, List.of(SoftwareVersion.of("a"), SoftwareVersion.of("b"))),
			Map.entry(Instant.class, List.of(Instant.EPOCH, Instant.EPOCH.plusMillis(1))),
			Map.entry(Duration.class, List.of(Duration.ZERO, Duration.ofMillis(1))),
			Map.entry(List.class, List.of(List.of(), List.of(MEMBER))));

	private static Object create(Class<?> type, int changedIndex) throws ReflectiveOperationException {
		RecordComponent[] components = type.getRecordComponents();
		Object[] values = new Object[components.length];
		for (int i = 0; i < values.length; i++) {
			values[i] = SAMPLE_VALUES.get(components[i].getType()).get((i == changedIndex) ? 1 : 0);
		}
		Class<?>[] types = Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
		Constructor<?> constructor = type.getDeclaredConstructor(types);
		return constructor.newInstance(values);
	}

	@ParameterizedTest
	@ValueSource(classes = { BackendServerId.class, DaemonId.class, FailureDomain.class, OrganisationId.class,
			PoolName.class, ProfileName.class, RequestId.class, NetworkAddress.class, Member.class, BackendServer.class,
			FleetSnapshot.class, Fingerprint.class, SoftwareVersion.class })
	void comparesEveryComponent(Class<?> type) throws ReflectiveOperationException {
		Object first = create(type, -1);
		assertThat(create(type, -1)).isEqualTo(first).hasSameHashCodeAs(first);
		assertThat(first).isNotEqualTo(null).isNotEqualTo("other");
		for (int i = 0; i < type.getRecordComponents().length; i++) {
			assertThat(create(type, i)).as(type.getRecordComponents()[i].getName()).isNotEqualTo(first);
		}
	}

}
