package org.wisteriapost.protocol.site;

import org.wisteriapost.policy.fleet.EntryInfo;
import org.wisteriapost.policy.fleet.NamedWeights;
import org.wisteriapost.policy.fleet.RunnerInfo;
import org.wisteriapost.policy.routing.RouteTable;

/**
 * A decoded object of the site's store.
 */
public sealed interface Declared {

	/**
	 * The current declaration of routes.
	 *
	 * @param table the complete route table
	 */
	record Routes(RouteTable table) implements Declared {
	}

	/**
	 * A runner that has registered itself.
	 *
	 * @param info as registered
	 */
	record Runner(RunnerInfo info) implements Declared {
	}

	/**
	 * The target weights version of a model.
	 *
	 * @param named the model and its target version
	 */
	record Weights(NamedWeights named) implements Declared {
	}

	/**
	 * An entry that has registered itself.
	 *
	 * @param info as registered
	 */
	record Entry(EntryInfo info) implements Declared {
	}

}
