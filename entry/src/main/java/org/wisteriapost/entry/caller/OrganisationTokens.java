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
 * Maps bearer tokens to organisations. Only hashes of tokens are kept, so that none can
 * appear in a log or a heap dump.
 */
public final class OrganisationTokens {

	private static final Logger LOG = System.getLogger(OrganisationTokens.class.getName());

	private static final String SCHEME = "Bearer ";

	// The time within which a token that is written to a file must be active at every
	// entry.
	private static final Duration ACTIVATION_DELAY = Duration.ofSeconds(8);

	private final Settings settings;

	private final LongSupplier clock;

	private final LongSupplier wallMillis;

	private final boolean hasTokenFiles;

	private final RejectionGuard guard = RejectionGuard.of(ACTIVATION_DELAY);

	private volatile Tokens tokens = new Tokens(Map.of(), RejectionPermit.NONE);

	private OrganisationTokens(Settings settings, LongSupplier clock, LongSupplier wallMillis) {
		this.settings = settings;
		this.clock = clock;
		this.wallMillis = wallMillis;
		this.hasTokenFiles = settings.sectionsOfKind(EntrySettings.ORGANISATION)
			.stream()
			.anyMatch((name) -> settings.text(EntrySettings.ORGANISATION + " " + name, EntrySettings.TOKEN_FILE.key())
				.isPresent());
	}

	/**
	 * Returns the organisations that are declared in the settings.
	 */
	public static OrganisationTokens of(Settings settings) {
		return of(settings, System::nanoTime, System::currentTimeMillis);
	}

	/**
	 * Returns the organisations that are declared in the settings.
	 * @param clock the monotonic clock, in nanoseconds
	 * @param wallMillis the wall clock, in milliseconds since 1970
	 */
	static OrganisationTokens of(Settings settings, LongSupplier clock, LongSupplier wallMillis) {
		OrganisationTokens organisations = new OrganisationTokens(settings, clock, wallMillis);
		organisations.reload();
		return organisations;
	}

	/**
	 * Reads the token files again, so that tokens can be replaced without a restart. Must
	 * not be called concurrently.
	 */
	public void reload() {
		long nanos = this.clock.getAsLong();
		long nowWallMillis = this.wallMillis.getAsLong();
		Map<String, String> byHash = new HashMap<>();
		boolean complete = read(byHash);
		if (complete) {
			this.guard.confirmed(nanos);
		}
		this.tokens = new Tokens(Map.copyOf(byHash),
				complete ? this.guard.permit(nanos, nowWallMillis) : this.tokens.rejectionPermit());
	}

	/**
	 * Returns whether an unknown token may be rejected for good: always if there are no
	 * token files, since settings do not change at run time; otherwise only if all files
	 * were read recently, see {@link RejectionGuard}.
	 * @param authorization the Authorization header, null if absent
	 */
	boolean mayReject(String authorization) {
		return !hasBearerToken(authorization) || !this.hasTokenFiles
				|| this.tokens.rejectionPermit().allows(this.clock.getAsLong(), this.wallMillis.getAsLong());
	}

	/**
	 * Returns the organisation that the token of an Authorization header belongs to.
	 */
	Optional<String> find(String authorization) {
		if (!hasBearerToken(authorization)) {
			return Optional.empty();
		}
		// A lookup by hash does not leak a token through its timing.
		return Optional.ofNullable(
				this.tokens.organisationByHash().get(Digests.sha256(authorization.substring(SCHEME.length()).trim())));
	}

	private static boolean hasBearerToken(String authorization) {
		return authorization != null && authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length());
	}

	// Returns whether all files could be read.
	private boolean read(Map<String, String> byHash) {
		boolean complete = true;
		for (String name : this.settings.sectionsOfKind(EntrySettings.ORGANISATION)) {
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
				// The previous token stays valid: a file that is just being replaced must
				// not lock its organisation out.
				LOG.log(Level.WARNING, "token-file-unreadable: organisation " + name);
				complete = false;
				this.tokens.organisationByHash().forEach((hash, owner) -> {
					if (owner.equals(name)) {
						byHash.put(hash, owner);
					}
				});
			}
		}
		return complete;
	}

	/**
	 * The tokens that were read last.
	 *
	 * @param organisationByHash organisations by the hashes of their tokens
	 * @param rejectionPermit until when unknown tokens may be rejected
	 */
	private record Tokens(Map<String, String> organisationByHash, RejectionPermit rejectionPermit) {
	}

}
