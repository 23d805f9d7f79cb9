package org.wisteriapost.kernel.settings;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.Findings;

/**
 * Definition of a settings key: its section, format, default and documentation.
 *
 * @param <T> the value's type
 * @param section the section, or {@code kind NAME} for sections that occur once per name
 * @param key the key
 * @param format the expected format, for findings and the reference page
 * @param parser converts the text to a value; throws a runtime exception for invalid text
 * @param defaultText the default in text form; empty when the key is required
 * @param doc one sentence of documentation, with the unit
 */
public record Setting<T>(String section, String key, String format, Function<String, T> parser,
		Optional<String> defaultText, String doc) {

	/** A required key is absent. */
	public static final Code SETTING_MISSING = Code.error("setting-missing", "A key without a default is absent.");

	/** A value does not have the expected format. */
	public static final Code SETTING_INVALID = Code.error("setting-invalid", "A value is not of its key's shape.");

	/**
	 * Returns a setting that accepts any text.
	 */
	public static Setting<String> text(String section, String key, String doc) {
		return new Setting<>(section, key, "text", Function.identity(), Optional.empty(), doc);
	}

	/**
	 * Returns a setting for an integer between two inclusive bounds.
	 */
	public static Setting<Long> number(String section, String key, long min, long max, String doc) {
		return new Setting<>(section, key, "a whole number from " + min + " to " + max, (value) -> {
			long number = Long.parseLong(value);
			if (number < min || number > max) {
				throw new IllegalArgumentException("out of bounds");
			}
			return number;
		}, Optional.empty(), doc);
	}

	/**
	 * Returns a setting for a decimal number between two inclusive bounds.
	 */
	public static Setting<Double> fraction(String section, String key, double min, double max, String doc) {
		return new Setting<>(section, key, "a number from " + min + " to " + max, (value) -> {
			double number = Double.parseDouble(value);
			if (!(number >= min && number <= max)) {
				throw new IllegalArgumentException("out of bounds");
			}
			return number;
		}, Optional.empty(), doc);
	}

	/**
	 * Returns a setting for a duration in milliseconds.
	 */
	public static Setting<Duration> millis(String section, String key, long min, long max, String doc) {
		Setting<Long> number = number(section, key, min, max, doc);
		return new Setting<>(section, key, number.format() + " (milliseconds)",
				(value) -> Duration.ofMillis(number.parser().apply(value)), Optional.empty(), doc);
	}

	/**
	 * Returns a setting for an HTTP URL whose host is an IP address.
	 */
	public static Setting<URI> address(String section, String key, String doc) {
		return new Setting<>(section, key, "http://IP:PORT", (value) -> {
			URI uri = URI.create(value);
			if (uri.getScheme() == null || uri.getHost() == null || !uri.getHost().matches("[0-9.]+|\\[.*]")) {
				throw new IllegalArgumentException("no IP number");
			}
			return uri;
		}, Optional.empty(), doc);
	}

	/**
	 * Returns a setting for a file path.
	 */
	public static Setting<Path> file(String section, String key, String doc) {
		return new Setting<>(section, key, "a file's path", Path::of, Optional.empty(), doc);
	}

	/**
	 * Returns a setting for {@code true} or {@code false}.
	 */
	public static Setting<Boolean> flag(String section, String key, String doc) {
		return new Setting<>(section, key, "true or false", (value) -> switch (value) {
			case "true" -> true;
			case "false" -> false;
			default -> throw new IllegalArgumentException("neither");
		}, Optional.empty(), doc);
	}

	/**
	 * Returns a copy of this setting with a default.
	 */
	public Setting<T> orElse(String value) {
		return new Setting<>(this.section, this.key, this.format, this.parser, Optional.of(value), this.doc);
	}

	/**
	 * Returns the value in a section, or the default. Adds a finding and returns empty
	 * when both are absent or the value is invalid.
	 * @param name the section to read, for settings of {@code kind NAME} sections
	 */
	public Optional<T> read(Settings settings, String name, Findings findings) {
		Optional<String> written = settings.text(name, this.key).or(() -> this.defaultText);
		if (written.isEmpty()) {
			findings.add(SETTING_MISSING, settings.locate(name, this.key), "no value", "write " + this.format);
			return Optional.empty();
		}
		try {
			return Optional.of(this.parser.apply(written.get()));
		}
		catch (RuntimeException ex) {
			findings.add(SETTING_INVALID, settings.locate(name, this.key), "\"" + written.get() + "\" is not accepted",
					"write " + this.format);
			return Optional.empty();
		}
	}

	/**
	 * Returns the value in the section of this setting.
	 */
	public Optional<T> read(Settings settings, Findings findings) {
		return read(settings, this.section, findings);
	}

	/**
	 * Returns the value in the section of this setting; throws if it is absent or
	 * invalid.
	 */
	public T get(Settings settings) {
		return get(settings, this.section);
	}

	/**
	 * Returns the value in a named section; throws if it is absent or invalid.
	 */
	public T get(Settings settings, String name) {
		Findings findings = new Findings();
		Optional<T> value = read(settings, name, findings);
		findings.throwIfAny();
		return value.orElseThrow();
	}

}
