package org.wisteriapost.kernel;

import java.util.Optional;
import java.util.ServiceLoader;
import java.util.function.Predicate;

/**
 * Looks up plug-ins by {@link ServiceLoader}.
 */
public final class Plugins {

	private Plugins() {
	}

	/**
	 * Returns the first registered plug-in of a type that satisfies the predicate.
	 */
	public static <T> Optional<T> find(Class<T> type, Predicate<T> matches) {
		return ServiceLoader.load(type).stream().map(ServiceLoader.Provider::get).filter(matches).findFirst();
	}

}
