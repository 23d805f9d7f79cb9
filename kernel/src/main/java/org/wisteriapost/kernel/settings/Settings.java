package org.wisteriapost.kernel.settings;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.wisteriapost.kernel.Code;
import org.wisteriapost.kernel.CodedException;
import org.wisteriapost.kernel.Location;

/**
 * Parsed INI file that keeps the line number of each section and key.
 */
public final class Settings {

	private static final Code FILE_UNREADABLE = Code.error("file-unreadable",
			"The file cannot be read or is not valid INI.");

	private final String file;

	private final INIConfiguration ini;

	private final Map<String, Integer> lineNumbers;

	private Settings(String file, INIConfiguration ini, Map<String, Integer> lineNumbers) {
		this.file = file;
		this.ini = ini;
		this.lineNumbers = lineNumbers;
	}

	/**
	 * Reads and parses a file.
	 */
	public static Settings read(Path path) {
		try {
			return parse(path.toString(), Files.readString(path));
		}
		catch (IOException ex) {
			throw CodedException.of(FILE_UNREADABLE, path + ": " + ex.getMessage(), ex);
		}
	}

	/**
	 * Parses the content of a file.
	 * @param file the file name that findings report
	 */
	public static Settings parse(String file, String text) {
		INIConfiguration ini = new INIConfiguration();
		ini.setSeparatorUsedInInput("=");
		try {
			ini.read(new StringReader(text));
		}
		catch (ConfigurationException | IOException ex) {
			throw CodedException.of(FILE_UNREADABLE, file + ": " + ex.getMessage(), ex);
		}
		return new Settings(file, ini, indexLines(text));
	}

	public Set<String> sections() {
		Set<String> names = new TreeSet<>();
		this.ini.getSections().stream().filter(Objects::nonNull).forEach(names::add);
		return names;
	}

	/**
	 * Returns the names of all sections of a kind: {@code [service lm-notice]} is section
	 * {@code lm-notice} of kind {@code service}.
	 */
	public List<String> sectionsOfKind(String kind) {
		String prefix = kind + " ";
		return sections().stream()
			.filter((name) -> name.startsWith(prefix))
			.map((name) -> name.substring(prefix.length()).trim())
			.toList();
	}

	public Set<String> keys(String section) {
		Set<String> keys = new TreeSet<>();
		this.ini.getSection(section).getKeys().forEachRemaining((key) -> keys.add(key.replace("..", ".")));
		return keys;
	}

	/**
	 * Returns the trimmed value; empty when the key is absent or its value blank.
	 */
	public Optional<String> text(String section, String key) {
		String value = this.ini.getSection(section).getString(key.replace(".", ".."));
		return Optional.ofNullable(value).map(String::trim).filter((trimmed) -> !trimmed.isEmpty());
	}

	/**
	 * Returns the comma-separated items of a value; empty when the key is absent.
	 */
	public List<String> items(String section, String key) {
		return text(section, key).stream()
			.flatMap((value) -> List.of(value.split(",")).stream())
			.map(String::trim)
			.filter((item) -> !item.isEmpty())
			.toList();
	}

	/**
	 * Returns the position of a key, or of its section when the key is absent.
	 */
	public Location locate(String section, String key) {
		int line = this.lineNumbers.getOrDefault(section + "\n" + key,
				this.lineNumbers.getOrDefault(section + "\n", 0));
		return new Location(this.file, line, section, key);
	}

	private static Map<String, Integer> indexLines(String text) {
		Map<String, Integer> lineNumbers = new HashMap<>();
		String section = "";
		int number = 0;
		for (String line : text.split("\n", -1)) {
			number++;
			String trimmed = line.trim();
			if (trimmed.startsWith("[") && trimmed.contains("]")) {
				section = trimmed.substring(1, trimmed.indexOf(']')).trim();
				lineNumbers.putIfAbsent(section + "\n", number);
			}
			else if (trimmed.contains("=") && !trimmed.startsWith(";") && !trimmed.startsWith("#")) {
				lineNumbers.putIfAbsent(section + "\n" + trimmed.substring(0, trimmed.indexOf('=')).trim(), number);
			}
		}
		return lineNumbers;
	}

}
