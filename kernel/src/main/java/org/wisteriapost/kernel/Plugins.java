package org.wisteriapost.kernel;

import java.util.Optional;
import java.util.ServiceLoader;
import java.util.function.Predicate;

/**
 * Finds plug-ins that have registered themselves with the service loader.
 */
public final class Plugins {

	private Plugins() {
	}

	/**
	 * Returns the first registered plug-in of a type that matches.
	 */
	public static <T> Optional<T> find(Class<T> type, Predicate<T> matches) {
		return ServiceLoader.load(type).stream().map(ServiceLoader.Provider::get).filter(matches).findFirst();
	}

}
