package org.wisteriapost.standin;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.Origin;
import org.wisteriapost.protocol.outside.http.HttpOrigin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class HttpOriginTests {

	private static final long LIMIT_SECONDS = 20;

	private static final int CHUNK = 100_000;

	private static final long SIZE = 250_001;

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private final OriginServer server = OriginServer.start("127.0.0.1", 0);

	private final Origin origin = HttpOrigin.at(this.caller, URI.create("http://127.0.0.1:" + this.server.port()));

	@AfterEach
	void stop() {
		this.caller.close();
		this.server.close();
	}

	@Test
	void everyRangeIsOfThePublishedContent() throws Exception {
		this.server.publish("lm/base.bin", "1", SIZE, CHUNK);
		Origin.Manifest manifest = this.origin.manifest("lm/base.bin").get(LIMIT_SECONDS, TimeUnit.SECONDS);
		ByteArrayOutputStream whole = new ByteArrayOutputStream();
		for (int i = 0; i < manifest.chunks().size(); i++) {
			int length = (int) Math.min(CHUNK, SIZE - (long) i * CHUNK);
			byte[] chunk = read(manifest, (long) i * CHUNK, length);
			assertThat(Digests.sha256(chunk), is(manifest.chunks().get(i)));
			whole.writeBytes(chunk);
		}
		assertThat(read(manifest, 0, (int) SIZE), is(whole.toByteArray()));
		assertThat(this.server.counts().get("lm/base.bin"), is(2 * SIZE));
	}

	@Test
	void sharedChunksOfTwoVersionsAreEqualAndTheOthersAreNot() {
		Origin.Manifest one = this.server.publish("a", "1", SIZE, CHUNK, 50);
		Origin.Manifest two = this.server.publish("a", "2", SIZE, CHUNK, 50);
		assertThat(one.chunks().subList(0, 2), is(two.chunks().subList(0, 2)));
		assertThat(one.chunks().get(2), is(not(two.chunks().get(2))));
	}

	// The publisher replaces a file during a fetch. A read of the pinned version must
	// fail as changed, or chunks of both versions could be mixed.
	@Test
	void readOfAReplacedVersionIsRejected() throws Exception {
		this.server.publish("a", "1", SIZE, CHUNK);
		Origin.Manifest pinned = this.origin.manifest("a").get(LIMIT_SECONDS, TimeUnit.SECONDS);
		Origin.Manifest next = this.server.publish("a", "2", SIZE, CHUNK);
		assertThat(HttpPlatformTests.code(this.origin.read("a", pinned.etag(), 0, 10)), is("origin-version-changed"));
		assertThat(this.origin.read("a", next.etag(), 0, 10).get(LIMIT_SECONDS, TimeUnit.SECONDS).length, is(10));
	}

	// A truncated or failed response must never produce a short chunk.
	@ParameterizedTest
	@CsvSource({ "CUT, 0, 100000", "DOWN, 0, 100000", "REFUSE, 0, 100000", "SLOW, 200000, 100000" })
	void shortOrFailedAnswerIsUnavailable(Fault.Kind kind, long offset, int length) {
		Origin.Manifest manifest = this.server.publish("a", "1", SIZE, CHUNK);
		this.server.fault(new Fault(kind, "/weights/a", 1, 1));
		assertThat(HttpPlatformTests.code(this.origin.read("a", manifest.etag(), offset, length)),
				is("origin-unavailable"));
	}

	@Test
	void corruptedChunkDoesNotHaveItsHash() throws Exception {
		Origin.Manifest manifest = this.server.publish("a", "1", SIZE, CHUNK);
		this.server.fault(new Fault(Fault.Kind.CORRUPT, "", 0, 1));
		assertThat(Digests.sha256(read(manifest, "a", 0, CHUNK)), is(not(manifest.chunks().getFirst())));
		assertThat(Digests.sha256(read(manifest, "a", 0, CHUNK)), is(manifest.chunks().getFirst()));
	}

	private byte[] read(Origin.Manifest manifest, long offset, int length) throws Exception {
		return read(manifest, "lm/base.bin", offset, length);
	}

	private byte[] read(Origin.Manifest manifest, String path, long offset, int length) throws Exception {
		return this.origin.read(path, manifest.etag(), offset, length).get(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

}
