package org.wisteriapost.entry.direct;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.kernel.log.DecisionLog;
import org.wisteriapost.policy.fleet.StoreRole;
import org.wisteriapost.policy.fleet.UpstreamSelector;
import org.wisteriapost.protocol.site.ObjectKind;
import org.wisteriapost.protocol.site.ObjectStore;
import org.wisteriapost.protocol.wire.Frame;
import org.wisteriapost.protocol.wire.NewsRequest;
import org.wisteriapost.protocol.wire.StoreObject;

import static org.hamcrest.MatcherAssert.assertThat;

class StoreObjectContentTests {

	private static final byte[] TABLE = ("table@7@" + IntStream.range(0, 1400)
		.mapToObj((i) -> "{\"name\":\"r-" + i + "\",\"host\":\"h" + i % 60 + ".example\",\"pathPrefix\":\"/p" + i
				+ "/\",\"routeType\":\"streaming\",\"timeoutMs\":6000}")
		.collect(Collectors.joining(","))).getBytes(StandardCharsets.UTF_8);

	private final DecisionLog log = DecisionLog.start("test", new PrintStream(OutputStream.nullOutputStream()));

	private final List<Frame> sent = new ArrayList<>();

	private final StoreReplication leader = new StoreReplication(new DecodeOnlyStore(), StoreRole.of("leader"),
			UpstreamSelector.of("leader"), EnumSet.allOf(ObjectKind.class), (peer, frame) -> this.sent.add(frame),
			() -> 0, this.log);

	@AfterEach
	void stop() {
		this.log.close();
	}

	// Ten followers in other regions receive a table of 1,400 routes after each change.
	// Uncompressed, three changes fill a link of 450 KB/s for more than ten seconds.
	@Test
	void tableTakesLessThanAFifthOfItsSize() {
		assertThat(tableSentTo(NewsRequest.newBuilder().setReadsDeflated(true)).getSerializedSize(),
				Matchers.lessThan(TABLE.length / 5));
	}

	// An entry of an older version ignores the compressed field and would see an empty
	// table.
	@Test
	void entryOfAnOlderVersionReceivesThePlainContent() {
		assertThat(tableSentTo(NewsRequest.newBuilder()).getContent().toByteArray(), Matchers.equalTo(TABLE));
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2047, 2048, 300_000 })
	void contentIsReadAsWritten(int size) {
		byte[] content = new byte[size];
		StoreObject.Builder object = StoreObject.newBuilder();
		StoreObjectContent.write(object, content);
		assertThat(StoreObjectContent.read(object.build()).orElseThrow(), Matchers.equalTo(content));
	}

	// A malformed object must neither stop the state thread nor replace what is known.
	@Test
	void malformedContentIsNotApplied() {
		StoreObject malformed = StoreObject.newBuilder().setDeflated(ByteString.copyFromUtf8("no zlib data")).build();
		assertThat(StoreObjectContent.read(malformed), Matchers.equalTo(Optional.empty()));
	}

	private StoreObject tableSentTo(NewsRequest.Builder request) {
		for (ObjectKind kind : ObjectKind.values()) {
			this.leader.applyFromStore(kind, List.of((kind == ObjectKind.ROUTES)
					? new ObjectStore.Item("table", 7, Optional.empty(), () -> TABLE) : DecodeOnlyStore.item("x", 5)),
					7);
		}
		this.leader.storeReachable(true);
		this.leader.requestReceived("follower", request.setWanted(true).setStamp(1).build());
		return this.sent.stream()
			.flatMap((frame) -> frame.getNews().getObjectsList().stream())
			.filter((object) -> object.getName().equals("table"))
			.findFirst()
			.orElseThrow();
	}

}
