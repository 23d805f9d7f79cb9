package org.wisteriapost.entry.direct;

import java.util.Optional;
import java.util.OptionalLong;

import com.dynatrace.hash4j.hashing.Hashing;
import org.wisteriapost.policy.routing.Organisation;
import org.wisteriapost.policy.routing.Route;
import org.wisteriapost.protocol.site.CallerFields;

/**
 * Names a request so that all of its attempts have the same name, and others hardly ever.
 */
final class RequestNames {

	private RequestNames() {
	}

	/**
	 * Returns the name; empty when the caller says nothing of what it asks.
	 */
	static OptionalLong of(Route route, Optional<Organisation> organisation, CallerFields fields) {
		if (fields.prompt().isEmpty()) {
			return OptionalLong.empty();
		}
		String text = String.join("\n", route.name(), organisation.map(Organisation::name).orElse(""),
				fields.prompt().get(), fields.promptTokens() + "," + fields.maxAnswerTokens());
		return OptionalLong.of(Hashing.komihash5_0().hashCharsToLong(text));
	}

}
