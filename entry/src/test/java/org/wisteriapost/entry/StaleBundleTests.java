package org.wisteriapost.entry;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.protocol.http.HttpResponse;
import org.wisteriapost.protocol.outside.Platform;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A request for a model that only the newest bundle has must not be rejected for good by
 * an entry that knows of the newer bundle but cannot read it yet.
 */
class StaleBundleTests {

	private static final String CHAT = "{\"model\":\"newer\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";

	private static final Bundle SECOND = EntryFixture.bundle("2", "bb");

	@AutoClose
	private final EntryFixture fixture = EntryFixture.start();

	// The head is written before the bundle, so the entry first knows only its digest.
	@ParameterizedTest
	@CsvSource(value = { "POST|/v1/chat/completions|" + CHAT + "|model-unknown",
			"GET|/services/newer/x||service-unknown" }, delimiter = '|', quoteCharacter = '`')
	void unknownServiceIsRefusedTemporarilyWhileANewerBundleIsKnown(String method, String path, String body,
			String code) {
		String text = (body != null) ? body : "";
		Head head = new Head(2, Digests.sha256(BundleCodec.encode(SECOND)), "amy", 0, "n2");
		this.fixture.platform().put("head", BundleCodec.encode(head), new Platform.Precondition.Anything()).join();
		EntryFixture.await(() -> this.fixture.call(method, path, text).join().status() != 404);
		HttpResponse reply = this.fixture.call(method, path, text).join();
		assertThat(reply.status(), Matchers.equalTo(503));
		assertThat(EntryFixture.text(reply), Matchers.containsString("\"code\":\"bundle-doubtful\""));
		assertThat(EntryFixture.outcome(reply), Matchers.equalTo("not-run"));
		assertThat(reply.header("Retry-After").isPresent(), Matchers.equalTo(true));
		this.fixture.roll(2, SECOND);
		EntryFixture.await(() -> this.fixture.call(method, path, text).join().status() == 404);
		assertThat(EntryFixture.text(this.fixture.call(method, path, text).join()),
				Matchers.containsString("\"code\":\"" + code + "\""));
	}

}
