package org.wisteriapost.entry;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wisteriapost.policy.bundle.Bundle;
import org.wisteriapost.policy.bundle.BundleCodec;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.bundle.Head;
import org.wisteriapost.protocol.http.HttpReply;
import org.wisteriapost.protocol.outside.Platform;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * A caller asks for a model that the newest bundle has, and is told for good that there
 * is none. The entry has heard that there is a newer bundle, cannot read it, and judges
 * by the one before.
 */
class DoubtfulBundleTests {

	private static final String CHAT = "{\"model\":\"newer\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";

	private static final Bundle SECOND = EntryBench.bundle("2", "bb");

	@AutoClose
	private final EntryBench bench = EntryBench.start();

	// The bundle itself is absent at first, so that the entry knows only its name.
	@ParameterizedTest
	@CsvSource(value = { "POST|/v1/chat/completions|" + CHAT + "|model-unknown",
			"GET|/services/newer/x||service-unknown" }, delimiter = '|', quoteCharacter = '`')
	void whatANewerBundleMayHoldIsRefusedAndNotRejected(String method, String path, String body, String code) {
		String text = (body != null) ? body : "";
		Head head = new Head(2, Digests.sha256(BundleCodec.encode(SECOND)), "amy", 0, "n2");
		this.bench.platform().put("head", BundleCodec.encode(head), new Platform.Expected.Anything()).join();
		EntryBench.await(() -> this.bench.call(method, path, text).join().status() != 404);
		HttpReply reply = this.bench.call(method, path, text).join();
		assertThat(reply.status(), Matchers.equalTo(503));
		assertThat(EntryBench.text(reply), Matchers.containsString("\"code\":\"bundle-doubtful\""));
		assertThat(EntryBench.outcome(reply), Matchers.equalTo("not-run"));
		assertThat(reply.header("Retry-After").isPresent(), Matchers.equalTo(true));
		this.bench.roll(2, SECOND);
		EntryBench.await(() -> this.bench.call(method, path, text).join().status() == 404);
		assertThat(EntryBench.text(this.bench.call(method, path, text).join()),
				Matchers.containsString("\"code\":\"" + code + "\""));
	}

}
