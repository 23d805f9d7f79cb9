package org.wisteriapost.entry.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.routing.RejectionPermit;
import org.wisteriapost.protocol.http.HttpCall;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.http.PooledHttpClient;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * An unknown token or service is rejected for good only by recent state, not while a
 * token file could not be read, nor by a bundle that was replaced during the check.
 */
class HttpFrontTests {

	private static final Duration LONG = Duration.ofSeconds(20);

	@TempDir
	private Path folder;

	private final PooledHttpClient caller = PooledHttpClient.create(1);

	private final ScriptedIntake intake = new ScriptedIntake();

	private OrganisationTokens organisations;

	private HttpFront front;

	@BeforeEach
	void start() {
		Settings settings = Settings.parse("test.ini", """
				[process]
				vm = n1
				place = p1
				[organisation baobab]
				token-file = %s
				[organisation kelpie]
				token = token-of-kelpie
				""".formatted(file()));
		this.organisations = OrganisationTokens.of(settings);
		this.front = HttpFront.start(new InetSocketAddress("127.0.0.1", 0), HttpLimits.of(settings), this.organisations,
				this.intake, Optional.empty());
	}

	@AfterEach
	void stop() {
		this.front.close();
		this.caller.close();
	}

	private Path file() {
		return this.folder.resolve("baobab.token");
	}

	private HttpResponse get(String authorization) {
		URI uri = URI.create("http://127.0.0.1:" + this.front.port() + "/services/newer/x");
		return this.caller.call(HttpCall.of("GET", uri, LONG).header("Authorization", authorization)).join();
	}

	private static void assertRefused(HttpResponse reply, int status, String code) {
		assertThat(new String(reply.body(), StandardCharsets.UTF_8),
				Matchers.containsString("\"code\":\"" + code + "\""));
		assertThat(reply.status(), Matchers.equalTo(status));
		assertThat(reply.header("Retry-After").isPresent(), Matchers.equalTo(status == 503));
	}

	private static EntryView view(long generation, boolean mayReject) {
		long now = System.nanoTime();
		RejectionPermit rejections = mayReject
				? new RejectionPermit(OptionalLong.of(now + LONG.toNanos()), now, System.currentTimeMillis())
				: RejectionPermit.NONE;
		return new EntryView(generation, Map.of(), List.of(), false, true, rejections);
	}

	// The token may be in the file that could not be read.
	@Test
	void aTokenIsNotRejectedWhileAFileOfTokensCouldNotBeRead() throws IOException {
		assertRefused(get("Bearer token-of-baobab"), 503, "token-doubtful");
		assertRefused(get("Bearer token-of-kelpie"), 503, "bundle-absent");
		Files.writeString(file(), "token-of-baobab\n");
		this.organisations.reload();
		assertRefused(get("Bearer token-of-baobab"), 503, "bundle-absent");
		assertRefused(get("Bearer other"), 401, "token-unknown");
	}

	// Such a header is invalid whatever the token files contain.
	@ParameterizedTest
	@CsvSource({ "Basic x", "Bearer" })
	void aHeaderWithoutABearerTokenIsRejectedAtOnce(String authorization) {
		assertRefused(get(authorization), 401, "token-unknown");
	}

	// The view of the check is stale; the next one was just confirmed and must not be
	// used to reject.
	@Test
	void anUnknownServiceIsRejectedByThePermitOfTheSameView() {
		this.intake.views.add(view(1, false));
		this.intake.views.add(view(1, false));
		this.intake.views.add(view(2, true));
		assertRefused(get("Bearer token-of-kelpie"), 503, "bundle-doubtful");
		assertRefused(get("Bearer token-of-kelpie"), 404, "service-unknown");
	}

	/** Returns each view once, then the last one repeatedly. */
	private static final class ScriptedIntake implements CallIntake {

		private final Queue<EntryView> views = new ConcurrentLinkedQueue<>();

		@Override
		public boolean submit(CallerCall call) {
			return false;
		}

		@Override
		public void callerDisconnected(long id) {
		}

		@Override
		public void rejected(String code) {
		}

		@Override
		public EntryView view() {
			return Optional.ofNullable((this.views.size() > 1) ? this.views.poll() : this.views.peek())
				.orElse(EntryView.EMPTY);
		}

	}

}
