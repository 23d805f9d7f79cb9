package org.wisteriapost.protocol.site;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import com.google.protobuf.DynamicMessage;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.dispatch.EngineStatus;
import org.wisteriapost.policy.fleet.RunnerIncarnation;
import org.wisteriapost.policy.pace.PaceStatement;
import org.wisteriapost.protocol.wire.EngineState;

import static org.hamcrest.MatcherAssert.assertThat;

class EngineStatusCodecTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long READ_NANOS = 5000 * NANOS_PER_MILLI;

	private static final RunnerIncarnation INCARNATION = RunnerIncarnation.startedAt(77);

	private static EngineStatus status(Optional<PaceStatement> pace) {
		return new EngineStatus(OptionalInt.of(3), true, OptionalLong.empty(), INCARNATION, pace);
	}

	private static EngineStatus slow(double pace) {
		return status(Optional.of(new PaceStatement(pace, READ_NANOS, INCARNATION)));
	}

	// Guards against a statement that grows younger on its way: clocks of the processes
	// have no common zero.
	@Test
	void paceKeepsItsAge() throws Exception {
		EngineState sent = EngineStatusCodec.encode("a:1", slow(2.5), READ_NANOS + 300 * NANOS_PER_MILLI);
		EngineStatus received = EngineStatusCodec.decode(EngineState.parseFrom(sent.toByteArray()),
				900 * NANOS_PER_MILLI);
		assertThat(received,
				Matchers.equalTo(status(Optional.of(new PaceStatement(2.5, 600 * NANOS_PER_MILLI, INCARNATION)))));
	}

	@Test
	void expiredStatementIsNotSent() {
		EngineState sent = EngineStatusCodec.encode("a:1", slow(2.5), READ_NANOS + 1000 * NANOS_PER_MILLI);
		assertThat(sent, Matchers.equalTo(EngineStatusCodec.encode("a:1", status(Optional.empty()), 0)));
	}

	// Guards against a status of an agent of an older version that is taken for slow.
	@Test
	void statusWithoutTheFieldHasNoPace() {
		EngineState state = EngineState.newBuilder().setAddress("a:1").setHoldsWeights(true).setVersion(3).build();
		assertThat(EngineStatusCodec.decode(state, 0).pace(), Matchers.equalTo(Optional.empty()));
	}

	@ParameterizedTest
	@CsvSource({ "40,0", "100,0", "250,2.5", "1000,10", "4000,10", "-1,10" })
	void paceIsBounded(int percent, double expected) {
		Optional<PaceStatement> pace = EngineStatusCodec.pace(EngineState.newBuilder().setPacePercent(percent).build(),
				0);
		assertThat(pace.map(PaceStatement::pace).orElse(0.0), Matchers.equalTo(expected));
	}

	// Guards against accessors and a descriptor that do not belong to the same
	// definition.
	@Test
	void descriptorDescribesTheEncodedFields() throws Exception {
		EngineState sent = EngineStatusCodec.encode("a:1", slow(2.5), READ_NANOS + 300 * NANOS_PER_MILLI);
		DynamicMessage read = DynamicMessage.parseFrom(EngineState.getDescriptor(), sent.toByteArray());
		assertThat(read.getUnknownFields().asMap().keySet(), Matchers.empty());
		for (List<Object> field : List.<List<Object>>of(List.of("pace_percent", 20, 250),
				List.of("pace_age_millis", 21, 300))) {
			var descriptor = EngineState.getDescriptor().findFieldByName((String) field.get(0));
			assertThat(descriptor.getNumber(), Matchers.equalTo(field.get(1)));
			assertThat(read.getField(descriptor), Matchers.equalTo(field.get(2)));
			assertThat(sent.getField(descriptor), Matchers.equalTo(field.get(2)));
		}
	}

}
