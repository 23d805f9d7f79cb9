package org.wisteriapost.policy.transfer;

import java.util.List;

import org.wisteriapost.policy.bundle.WeightFile;

final class Weights {

	private Weights() {
	}

	/**
	 * Returns a file whose chunks are 100 bytes long and have these hashes.
	 */
	static WeightFile file(String name, String... hashes) {
		return new WeightFile(name, "1", name, "etag", 100L * hashes.length, 100, List.of(hashes));
	}

}
