package org.wisteriapost.entry.direct;

import java.time.Duration;
import java.util.OptionalInt;

import com.google.protobuf.InvalidProtocolBufferException;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.policy.admission.ContentionReport;
import org.wisteriapost.protocol.wire.LoadReport;
import org.wisteriapost.protocol.wire.ServiceContention;

import static org.hamcrest.MatcherAssert.assertThat;

class ContentionReportTests {

	private final EntryStateFixture entry = new EntryStateFixture();

	// A shortage at a peer counts here while it is recent.
	@ParameterizedTest
	@CsvSource({ "0,true", "900,true", "1500,false" })
	void contentionOfPeerIsTakenOver(int agoMillis, boolean contended) {
		this.entry.receiveLoadReport(LoadReport.newBuilder()
			.addContended(ServiceContention.newBuilder().setService("lm-notice").setAgeMillis(agoMillis))
			.build());
		assertThat(this.entry.contended(), contended ? Matchers.contains("lm-notice") : Matchers.empty());
	}

	// Reports of an older version have no such field.
	@Test
	void reportWithoutContentionChangesNothing() {
		this.entry.receiveLoadReport(LoadReport.getDefaultInstance());
		assertThat(this.entry.contended(), Matchers.empty());
	}

	// The rank passes the wire; without one, as from an older version, none is known.
	@ParameterizedTest
	@ValueSource(ints = { -1, 0, 2, 9 })
	void rankPassesTheWire(int rank) throws InvalidProtocolBufferException {
		ContentionReport report = new ContentionReport("lm-notice",
				(rank < 0) ? OptionalInt.empty() : OptionalInt.of(rank), Duration.ofMillis(250));
		byte[] bytes = LoadReportCodec.encode(report).toByteArray();
		assertThat(LoadReportCodec.decode(ServiceContention.parseFrom(bytes)), Matchers.equalTo(report));
	}

}
