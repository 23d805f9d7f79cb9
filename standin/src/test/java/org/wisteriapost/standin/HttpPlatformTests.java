package org.wisteriapost.standin;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.Plugins;
import org.wisteriapost.protocol.http.PooledHttpClient;
import org.wisteriapost.protocol.outside.ExternalSystemsProvider;
import org.wisteriapost.protocol.outside.Platform;
import org.wisteriapost.protocol.outside.Platform.Precondition;
import org.wisteriapost.protocol.outside.Platform.PutResult;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

class HttpPlatformTests {

	private static final long LIMIT_SECONDS = 20;

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private final PlatformServer server = PlatformServer.start("127.0.0.1", 0);

	private final Platform platform = Plugins.find(ExternalSystemsProvider.class, (one) -> one.name().equals("http"))
		.orElseThrow()
		.platform(this.caller, URI.create("http://127.0.0.1:" + this.server.port()));

	@AfterEach
	void stop() {
		this.caller.close();
		this.server.close();
	}

	@Test
	void writtenValueIsReadBackWithItsVersion() throws Exception {
		byte[] value = { 0, -1, 34, 10 };
		assertThat(get("vms/a b%ü"), is(Optional.empty()));
		assertThat(put("vms/a b%ü", value, new Precondition.Absent()), is(new PutResult.Written(1)));
		assertThat(put("vms/a b%ü", value, new Precondition.Version(1)), is(new PutResult.Written(2)));
		Platform.Stored stored = get("vms/a b%ü").orElseThrow();
		assertThat(stored.value(), is(value));
		assertThat(stored.version(), is(2L));
	}

	@Test
	void failedPreconditionReturnsTheCurrentValue() throws Exception {
		put("head", bytes("one"), new Precondition.Anything());
		PutResult.Conflict absent = (PutResult.Conflict) put("head", bytes("two"), new Precondition.Absent());
		PutResult.Conflict version = (PutResult.Conflict) put("head", bytes("two"), new Precondition.Version(7));
		PutResult.Conflict missing = (PutResult.Conflict) put("other", bytes("two"), new Precondition.Version(1));
		assertThat(absent.current().orElseThrow().value(), is(bytes("one")));
		assertThat(version.current().orElseThrow().version(), is(1L));
		assertThat(missing.current(), is(Optional.empty()));
	}

	@Test
	void watchReturnsOnlyChangesUnderItsPrefix() throws Exception {
		put("bundles/a", bytes("1"), new Precondition.Absent());
		Platform.Listing before = this.platform.list("bundles/").get(LIMIT_SECONDS, TimeUnit.SECONDS);
		CompletableFuture<Platform.Listing> watch = this.platform.watch("bundles/", before.revision(),
				Duration.ofSeconds(LIMIT_SECONDS));
		put("status/a", bytes("2"), new Precondition.Absent());
		put("bundles/b", bytes("3"), new Precondition.Absent());
		Platform.Listing after = watch.get(LIMIT_SECONDS, TimeUnit.SECONDS);
		assertThat(before.items(), hasSize(1));
		assertThat(after.items().stream().map(Platform.Stored::key).toList(), contains("bundles/b"));
		assertThat(after.revision(), is(3L));
	}

	@Test
	void watchWithoutAChangeEndsEmpty() throws Exception {
		put("head", bytes("1"), new Precondition.Absent());
		Platform.Listing listing = this.platform.watch("head", 1, Duration.ofMillis(50))
			.get(LIMIT_SECONDS, TimeUnit.SECONDS);
		assertThat(listing.items(), is(empty()));
	}

	// A write whose response is lost must be reported as unconfirmed: the caller would
	// otherwise repeat it or report a rollout as failed that has taken effect. Only
	// calls that cannot have taken effect may be reported as failed.
	@ParameterizedTest
	@CsvSource({ "LOSE_ANSWERS, platform-unconfirmed, true", "CUT, platform-unconfirmed, false",
			"REFUSE, platform-unconfirmed, false", "DOWN, platform-unavailable, false" })
	void failedWriteReportsWhetherItMayHaveTakenEffect(Fault.Kind kind, String code, boolean written) throws Exception {
		put("head", bytes("old"), new Precondition.Absent());
		this.server.fault(new Fault(kind, "", 0, 1));
		// Only the response to a conflict has a body that can be truncated.
		Precondition expected = (kind == Fault.Kind.CUT) ? new Precondition.Version(9) : new Precondition.Version(1);
		assertThat(code(this.platform.put("head", bytes("new"), expected)), is(code));
		boolean changed = get("head").orElseThrow().version() == 2;
		assertThat(changed, is(written));
	}

	@ParameterizedTest
	@CsvSource({ "LOSE_ANSWERS", "CUT", "REFUSE", "DOWN" })
	void failedReadIsUnavailable(Fault.Kind kind) throws Exception {
		put("head", bytes("value"), new Precondition.Absent());
		this.server.fault(new Fault(kind, "", 0, 1));
		assertThat(code(this.platform.get("head")), is("platform-unavailable"));
		this.server.fault(new Fault(kind, "", 0, 1));
		assertThat(code(this.platform.list("head")), is("platform-unavailable"));
		this.server.fault(new Fault(kind, "", 0, 1));
		assertThat(code(this.platform.watch("head", 0, Duration.ofSeconds(1))), is("platform-unavailable"));
		assertThat(get("head").orElseThrow().value(), is(bytes("value")));
	}

	@Test
	void writeToAClosedPortHadNoEffect() throws Exception {
		this.server.close();
		assertThat(code(this.platform.put("head", bytes("1"), new Precondition.Absent())), is("platform-unavailable"));
	}

	@Test
	void callsOverTheLimitAreUnavailable() throws Exception {
		try (PlatformServer limited = PlatformServer.start("127.0.0.1", 0, 1, 1)) {
			Platform small = Plugins.find(ExternalSystemsProvider.class, (one) -> true)
				.orElseThrow()
				.platform(this.caller, URI.create("http://127.0.0.1:" + limited.port()));
			PutResult first = small.put("a", bytes("1"), new Precondition.Absent())
				.get(LIMIT_SECONDS, TimeUnit.SECONDS);
			assertThat(first, is(instanceOf(PutResult.Written.class)));
			assertThat(code(small.put("b", bytes("1"), new Precondition.Absent())), is("platform-unavailable"));
			assertThat(limited.counts().get("refused"), is(1L));
		}
	}

	private Optional<Platform.Stored> get(String key) throws Exception {
		return this.platform.get(key).get(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	private PutResult put(String key, byte[] value, Precondition expected) throws Exception {
		return this.platform.put(key, value, expected).get(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	static String code(CompletableFuture<?> future) {
		ExecutionException failure = assertThrows(ExecutionException.class,
				() -> future.get(LIMIT_SECONDS, TimeUnit.SECONDS));
		return ((CodedException) failure.getCause()).code().name();
	}

}
