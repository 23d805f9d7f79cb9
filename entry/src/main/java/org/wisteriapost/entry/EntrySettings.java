package org.wisteriapost.entry;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.settings.CommonSettings;
import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.kernel.settings.SettingsSchema;

/**
 * The settings of an entry.
 */
public final class EntrySettings implements SettingsSchema {

	/** The name of the entry's section. */
	public static final String SECTION = "entry";

	/** The prefix of the sections that declare organisations. */
	public static final String ORGANISATION = "organisation";

	/** The address that callers connect to. */
	public static final Setting<String> HTTP_HOST = Setting.text(SECTION, "http-host",
			"IP number that callers connect to.");

	/** The port that callers connect to. */
	public static final Setting<Long> HTTP_PORT = Setting
		.number(SECTION, "http-port", 0, 65535, "Port that callers connect to; 0 chooses a free one.")
		.orElse("0");

	/** The address that other entries connect to. */
	public static final Setting<String> LINK_HOST = Setting.text(SECTION, "link-host",
			"IP number that other entries connect to.");

	/** The port that other entries connect to. */
	public static final Setting<Long> LINK_PORT = Setting
		.number(SECTION, "link-port", 0, 65535, "Port that other entries connect to; 0 chooses a free one.")
		.orElse("0");

	/** The maximum size of a request's body. */
	public static final Setting<Long> MAX_BODY_BYTES = Setting
		.number(SECTION, "max-body-bytes", 1024, 2 << 20, "Most bytes in a request's body.")
		.orElse("1048576");

	/** The maximum size of a request's headers. */
	public static final Setting<Long> MAX_HEADER_BYTES = Setting
		.number(SECTION, "max-header-bytes", 1024, 1 << 20, "Most bytes in a request's headers.")
		.orElse("16384");

	/** The maximum number of connections from callers. */
	public static final Setting<Long> MAX_CONNECTIONS = Setting
		.number(SECTION, "max-connections", 1, 1_000_000, "Most connections from callers at once.")
		.orElse("4096");

	/** The maximum number of requests in progress. */
	public static final Setting<Long> MAX_STREAMS = Setting
		.number(SECTION, "max-streams", 1, 1_000_000, "Most requests in progress at once, queued ones included.")
		.orElse("2048");

	/** The capacity of the event loop's queue. */
	public static final Setting<Long> RING_SIZE = Setting
		.number(SECTION, "ring-size", 64, 1 << 20, "Events that may wait for the event loop, a power of two.")
		.orElse("8192");

	/** The deadline of a request that does not specify one. */
	public static final Setting<Duration> DEFAULT_DEADLINE = Setting
		.millis(SECTION, "default-deadline-ms", 1, 3_600_000, "Deadline of a request that does not name one.")
		.orElse("30000");

	/** The longest deadline that a request may specify. */
	public static final Setting<Duration> MAX_DEADLINE = Setting
		.millis(SECTION, "max-deadline-ms", 1, 3_600_000, "Longest deadline that a request may name.")
		.orElse("600000");

	/** The time for receiving a request's headers, and again for its body. */
	public static final Setting<Duration> BODY_TIMEOUT = Setting
		.millis(SECTION, "body-timeout-ms", 10, 600_000,
				"Time in which a request's head, and then its body, must come.")
		.orElse("10000");

	/** How long callers may cache the addresses of entries. */
	public static final Setting<Long> KEEP_SECONDS = Setting.number(SECTION, "keep-seconds", 1, 2,
			"Seconds that callers may keep the answer of /v1/entries; a VM that leaves is unnamed this long before it refuses.")
		.orElse("1");

	/** The size up to which an answer that is not streamed is buffered. */
	public static final Setting<Long> MAX_HELD_BYTES = Setting
		.number(SECTION, "max-held-bytes", 1024, 64 << 20,
				"Most bytes of an answer that is held back until it is whole; a larger one is passed on from there.")
		.orElse("1048576");

	/** The maximum number of bytes queued for a slow caller. */
	public static final Setting<Long> MAX_UNSENT_BYTES = Setting
		.number(SECTION, "max-unsent-bytes", 4096, 64 << 20,
				"Most bytes of one streamed answer that wait for its caller; past it the answer is cut.")
		.orElse("1048576");

	/** The rate limit of writes for idempotency keys. */
	public static final Setting<Long> CLAIM_WRITES = Setting.number(SECTION, "claim-writes-per-second", 1, 1000,
			"Writes a second to the platform for idempotency keys; all entries together must stay well below its limit.")
		.orElse("35");

	/** An organisation's token. */
	public static final Setting<String> TOKEN = Setting
		.text("organisation NAME", "token", "Bearer token of this organisation; or use token-file.")
		.orElse("-");

	/** The file with an organisation's token. */
	public static final Setting<Path> TOKEN_FILE = Setting
		.file("organisation NAME", "token-file",
				"File with this organisation's bearer token; read again when it changes.")
		.orElse("-");

	private static final Code TOKEN_MISSING = Code.error("organisation-token-missing",
			"An organisation has neither a token nor a token file, or both.");

	private static final Code RING_NOT_POWER = Code.error("ring-size-not-power-of-two",
			"The event loop's ring must be a power of two.");

	@Override
	public List<Setting<?>> keys() {
		return List.of(HTTP_HOST, HTTP_PORT, LINK_HOST, LINK_PORT, MAX_BODY_BYTES, MAX_HEADER_BYTES, MAX_CONNECTIONS,
				MAX_STREAMS, RING_SIZE, DEFAULT_DEADLINE, MAX_DEADLINE, BODY_TIMEOUT, KEEP_SECONDS, MAX_HELD_BYTES,
				MAX_UNSENT_BYTES, CLAIM_WRITES, TOKEN, TOKEN_FILE);
	}

	@Override
	public void check(Settings settings, Findings findings) {
		settings.sectionsOfKind(ORGANISATION)
			.forEach((name) -> checkToken(settings, ORGANISATION + " " + name, findings));
		if (!settings.sections().contains(SECTION)) {
			return;
		}
		// The check of each key covers only sections that are present, so required keys
		// of absent sections are checked here.
		List.of(CommonSettings.VM, CommonSettings.FAILURE_DOMAIN, CommonSettings.PLATFORM, CommonSettings.VM_LIST)
			.stream()
			.filter((setting) -> !settings.sections().contains(setting.section()))
			.forEach((setting) -> setting.read(settings, findings));
		RING_SIZE.read(settings, new Findings())
			.filter((size) -> Long.bitCount(size) != 1)
			.ifPresent((size) -> findings.add(RING_NOT_POWER, settings.locate(SECTION, RING_SIZE.key()),
					size + " is not a power of two", "write 4096 or 8192"));
	}

	private static void checkToken(Settings settings, String section, Findings findings) {
		boolean token = settings.text(section, TOKEN.key()).isPresent();
		boolean file = settings.text(section, TOKEN_FILE.key()).isPresent();
		if (token == file) {
			findings.add(TOKEN_MISSING, settings.locate(section, ""), token ? "token and token-file" : "no token",
					"write one of token and token-file");
		}
	}

}
