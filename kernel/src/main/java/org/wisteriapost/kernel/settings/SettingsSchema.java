package org.wisteriapost.kernel.settings;

import java.util.List;

import org.wisteriapost.kernel.Findings;

/**
 * Settings of one component; implementations are registered with the service loader.
 */
public interface SettingsSchema {

	/**
	 * Returns all settings that the component reads.
	 */
	List<Setting<?>> keys();

	/**
	 * Returns whether a file has the given section, without which the settings of the
	 * component are not required: a file without {@code [agent]} does not configure an
	 * agent.
	 */
	default boolean appliesTo(Settings settings, String section) {
		return settings.sections().contains(section);
	}

	/**
	 * Adds findings that involve more than one setting.
	 */
	default void check(Settings settings, Findings findings) {
	}

}
