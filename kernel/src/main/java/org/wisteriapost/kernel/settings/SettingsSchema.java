package org.wisteriapost.kernel.settings;

import java.util.List;

import org.wisteriapost.kernel.Findings;

/**
 * The keys of one part of the program; registers with the service loader.
 */
public interface SettingsSchema {

	/**
	 * Returns every key this part reads.
	 */
	List<Setting<?>> keys();

	/**
	 * Returns the sections that must be there for this part's keys to be required, for
	 * example {@code agent}: a file without the section is not an agent's.
	 */
	default boolean appliesTo(Settings settings, String section) {
		return settings.sections().contains(section);
	}

	/**
	 * Adds findings that need more than one key.
	 */
	default void check(Settings settings, Findings findings) {
	}

}
