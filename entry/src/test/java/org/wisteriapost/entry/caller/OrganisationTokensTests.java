package org.wisteriapost.entry.caller;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import org.hamcrest.Matchers;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wisteriapost.kernel.settings.Settings;

import static org.hamcrest.MatcherAssert.assertThat;

/**
 * An unknown token is rejected for good only by token files that were read recently,
 * since it may have been written to its organisation's file meanwhile.
 */
class OrganisationTokensTests {

	private static final long MILLI = 1_000_000;

	private static final String OTHER = "Bearer other";

	@TempDir
	private Path folder;

	private OrganisationTokens organisations;

	private long now = 100_000 * MILLI;

	private long wallMillis = 1_000_000;

	@BeforeEach
	void read() throws IOException {
		Files.writeString(file(), "first\n");
		this.organisations = organisations("token-file = " + file());
	}

	private Path file() {
		return this.folder.resolve("baobab.token");
	}

	private OrganisationTokens organisations(String token) {
		return OrganisationTokens.of(Settings.parse("test.ini", "[organisation baobab]\n" + token + "\n"),
				() -> this.now, () -> this.wallMillis);
	}

	private void advance(long millis) {
		this.now += millis * MILLI;
		this.wallMillis += millis;
	}

	@Test
	void aTokenIsReplacedByReadingItsFileAgain() throws IOException {
		Files.writeString(file(), "second\n");
		this.organisations.reload();
		assertThat(this.organisations.find("Bearer second"), Matchers.equalTo(Optional.of("baobab")));
		assertThat(this.organisations.find("Bearer first"), Matchers.equalTo(Optional.empty()));
	}

	// A file that is just being replaced must not lock its organisation out.
	@Test
	void aTokenStaysGoodWhileItsFileCannotBeRead() throws IOException {
		Files.delete(file());
		this.organisations.reload();
		assertThat(this.organisations.find("Bearer first"), Matchers.equalTo(Optional.of("baobab")));
	}

	@ParameterizedTest
	@CsvSource({ "0,true", "7200,true", "7201,false" })
	void anUnknownTokenIsRejectedOnlyByFilesThatWereReadRecently(long millis, boolean mayReject) throws IOException {
		advance(5000);
		this.organisations.reload();
		Files.delete(file());
		advance(millis);
		this.organisations.reload();
		assertThat(this.organisations.mayReject(OTHER), Matchers.equalTo(mayReject));
	}

	@Test
	void nothingIsRejectedAfterASuspensionUntilTheFilesAreReadAgain() throws IOException {
		this.wallMillis += 60_000;
		assertThat(this.organisations.mayReject(OTHER), Matchers.equalTo(false));
		Files.delete(file());
		this.organisations.reload();
		assertThat(this.organisations.mayReject(OTHER), Matchers.equalTo(false));
		Files.writeString(file(), "first\n");
		this.organisations.reload();
		assertThat(this.organisations.mayReject(OTHER), Matchers.equalTo(true));
	}

	// Such a header is invalid whatever the token files contain.
	@ParameterizedTest
	@NullSource
	@ValueSource(strings = { "Basic x", "" })
	void aHeaderWithoutABearerTokenIsAlwaysRejected(String authorization) {
		advance(60_000);
		assertThat(this.organisations.mayReject(authorization), Matchers.equalTo(true));
	}

	// Tokens in settings change only with a restart.
	@Test
	void tokensInSettingsNeverBecomeStale() {
		OrganisationTokens fixed = organisations("token = first");
		advance(60_000);
		assertThat(fixed.mayReject(OTHER), Matchers.equalTo(true));
	}

}
