package org.wisteriapost.entry.caller;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.wisteriapost.entry.EntrySettings;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.policy.bundle.Digests;
import org.wisteriapost.policy.routing.RejectionGuard;
import org.wisteriapost.policy.routing.RejectionPermit;

/**
 * Finds the organisation that a bearer token belongs to. Only hashes are kept, so that no
 * token can get into a log or a heap dump.
 */
public final class Organisations {

	private static final Logger LOG = System.getLogger(Organisations.class.getName());

	private static final String SCHEME = "Bearer ";

	// Until a token that is put into a file is to be in force at every entry.
	private static final Duration IN_FORCE = Duration.ofSeconds(8);

	private final Settings settings;

	private final LongSupplier clock;

	private final LongSupplier dayMillis;

	private final boolean files;

	private final RejectionGuard guard = RejectionGuard.of(IN_FORCE);

	private volatile Known known = new Known(Map.of(), RejectionPermit.NONE);

	private Organisations(Settings settings, LongSupplier clock, LongSupplier dayMillis) {
		this.settings = settings;
		this.clock = clock;
		this.dayMillis = dayMillis;
		this.files = settings.named(EntrySettings.ORGANISATION)
			.stream()
			.anyMatch((name) -> settings.text(EntrySettings.ORGANISATION + " " + name, EntrySettings.TOKEN_FILE.key())
				.isPresent());
	}

	/**
	 * Returns the organisations of some settings.
	 */
	public static Organisations of(Settings settings) {
		return of(settings, System::nanoTime, System::currentTimeMillis);
	}

	/**
	 * Returns the organisations of some settings.
	 * @param clock the monotonic clock, in nanoseconds
	 * @param dayMillis milliseconds since 1970
	 */
	static Organisations of(Settings settings, LongSupplier clock, LongSupplier dayMillis) {
		Organisations organisations = new Organisations(settings, clock, dayMillis);
		organisations.reload();
		return organisations;
	}

	/**
	 * Reads the token files again, so that tokens are replaced without a restart. Called
	 * by one thread.
	 */
	public void reload() {
		long nanos = this.clock.getAsLong();
		long day = this.dayMillis.getAsLong();
		Map<String, String> byHash = new HashMap<>();
		boolean whole = read(byHash);
		if (whole) {
			this.guard.confirmed(nanos);
		}
		this.known = new Known(Map.copyOf(byHash), whole ? this.guard.permit(nanos, day) : this.known.rejections());
	}

	/**
	 * Returns whether a token that is not known is no one's for good. Without files all
	 * tokens are settings of this process; else see {@link RejectionGuard}.
	 * @param authorization the header, null for none
	 */
	boolean mayReject(String authorization) {
		return !bearer(authorization) || !this.files
				|| this.known.rejections().allows(this.clock.getAsLong(), this.dayMillis.getAsLong());
	}

	/**
	 * Returns the organisation named by an Authorization header.
	 */
	Optional<String> find(String authorization) {
		if (!bearer(authorization)) {
			return Optional.empty();
		}
		// Looked up by hash: the time it takes says nothing about a token.
		return Optional
			.ofNullable(this.known.byHash().get(Digests.sha256(authorization.substring(SCHEME.length()).trim())));
	}

	private static boolean bearer(String authorization) {
		return authorization != null && authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length());
	}

	// Returns whether all files could be read.
	private boolean read(Map<String, String> byHash) {
		boolean whole = true;
		for (String name : this.settings.named(EntrySettings.ORGANISATION)) {
			String section = EntrySettings.ORGANISATION + " " + name;
			Optional<String> file = this.settings.text(section, EntrySettings.TOKEN_FILE.key());
			if (file.isEmpty()) {
				byHash.put(Digests.sha256(EntrySettings.TOKEN.get(this.settings, section)), name);
				continue;
			}
			try {
				byHash.put(Digests.sha256(Files.readString(Path.of(file.get())).trim()), name);
			}
			catch (IOException ex) {
				// The token that was read before stays good: a file caught in the middle
				// of being replaced must not shut an organisation out.
				LOG.log(Level.WARNING, "token-file-unreadable: organisation " + name);
				whole = false;
				this.known.byHash().forEach((hash, owner) -> {
					if (owner.equals(name)) {
						byHash.put(hash, owner);
					}
				});
			}
		}
		return whole;
	}

	/**
	 * What was read last.
	 *
	 * @param byHash organisations by the hashes of their tokens
	 * @param rejections whether that is recent enough to call another token wrong
	 */
	private record Known(Map<String, String> byHash, RejectionPermit rejections) {
	}

}
