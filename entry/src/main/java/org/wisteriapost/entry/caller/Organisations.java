package org.wisteriapost.entry.caller;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.wisteriapost.entry.EntrySettings;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.bundle.Digests;

/**
 * Finds the organisation that a bearer token belongs to. Only hashes are kept, so that no
 * token can get into a log or a heap dump.
 */
public final class Organisations {

	private static final Logger LOG = System.getLogger(Organisations.class.getName());

	private static final String SCHEME = "Bearer ";

	private final Settings settings;

	private volatile Map<String, String> byHash;

	private Organisations(Settings settings) {
		this.settings = settings;
		this.byHash = read(settings, Map.of());
	}

	/**
	 * Returns the organisations of some settings.
	 */
	public static Organisations of(Settings settings) {
		return new Organisations(settings);
	}

	/**
	 * Reads the token files again, so that tokens are replaced without a restart.
	 */
	public void reload() {
		this.byHash = read(this.settings, this.byHash);
	}

	/**
	 * Returns the organisation named by an Authorization header.
	 */
	Optional<String> find(String authorization) {
		if (authorization == null || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			return Optional.empty();
		}
		// Looked up by hash: the time it takes says nothing about a token.
		return Optional.ofNullable(this.byHash.get(Digests.sha256(authorization.substring(SCHEME.length()).trim())));
	}

	private static Map<String, String> read(Settings settings, Map<String, String> before) {
		Map<String, String> byHash = new HashMap<>();
		for (String name : settings.named(EntrySettings.ORGANISATION)) {
			String section = EntrySettings.ORGANISATION + " " + name;
			Optional<String> file = settings.text(section, EntrySettings.TOKEN_FILE.key());
			if (file.isEmpty()) {
				byHash.put(Digests.sha256(EntrySettings.TOKEN.get(settings, section)), name);
				continue;
			}
			try {
				byHash.put(Digests.sha256(Files.readString(Path.of(file.get())).trim()), name);
			}
			catch (IOException ex) {
				// The token that was read before stays good: a file caught in the middle
				// of being replaced must not shut an organisation out.
				LOG.log(Level.WARNING, "token-file-unreadable: organisation " + name);
				before.forEach((hash, owner) -> {
					if (owner.equals(name)) {
						byHash.put(hash, owner);
					}
				});
			}
		}
		return Map.copyOf(byHash);
	}

}
