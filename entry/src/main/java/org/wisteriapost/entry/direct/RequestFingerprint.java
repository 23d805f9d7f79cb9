package org.wisteriapost.entry.direct;

import java.util.Optional;
import java.util.OptionalLong;

import com.dynatrace.hash4j.hashing.Hashing;
import org.wisteriapost.entry.quarantine.ContentHash;
import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.protocol.site.CallerRequestFields;

/**
 * Computes a hash that is the same for all attempts of a request and, but for hash
 * collisions, differs between requests.
 */
final class RequestFingerprint {

	private RequestFingerprint() {
	}

	/**
	 * Returns the fingerprint, or empty if the caller does not describe the prompt.
	 */
	static OptionalLong of(Route route, Optional<Organisation> organisation, CallerRequestFields fields) {
		if (fields.prompt().isEmpty()) {
			return OptionalLong.empty();
		}
		String text = String.join("\n", route.name(), organisation.map(Organisation::name).orElse(""),
				fields.prompt().get(), fields.promptTokens() + "," + fields.maxAnswerTokens());
		return OptionalLong.of(Hashing.komihash5_0().hashCharsToLong(text));
	}

	/**
	 * Returns a hash of what a request asks for and who asks: the path without the query,
	 * the organisation and the body.
	 */
	static long ofContent(String path, Optional<Organisation> organisation, byte[] body) {
		return ContentHash.of(path, organisation.map(Organisation::name).orElse(""), body);
	}

}
