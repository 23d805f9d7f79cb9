package org.wisteriapost.entry.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Hash of what a request asks for and who asks. It is equal for all attempts of the
 * request, at all entries.
 */
public final class ContentHash {

	private ContentHash() {
	}

	/**
	 * Returns the hash of a request.
	 * @param path the path without the query
	 * @param organisation the name of the organisation; empty if it is not known
	 */
	public static long of(String path, String organisation, byte[] body) {
		return Hashing.komihash5_0()
			.hashStream()
			.putString(path)
			.putString(organisation)
			.putByteArray(body)
			.getAsLong();
	}

}
