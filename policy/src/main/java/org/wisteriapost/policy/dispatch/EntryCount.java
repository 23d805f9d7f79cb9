package org.wisteriapost.policy.dispatch;

/**
 * How many entries share what there is.
 *
 * @param all of them, this one included
 * @param near those of this entry's place
 * @param byPlace whether callers are told of entries of their own place only
 */
public record EntryCount(int all, int near, boolean byPlace) {

	public EntryCount {
		all = Math.max(1, all);
		near = Math.clamp(near, 1, all);
	}

	/**
	 * Returns a count of entries that all have callers of all places.
	 */
	public static EntryCount flat(int all) {
		return new EntryCount(all, all, false);
	}

	/**
	 * Returns how many entries send to the runners of a place. Where callers keep to
	 * their place, runners there are used by the entries there, and by as many again from
	 * elsewhere when their own are full.
	 * @param own the place of this entry
	 */
	int sharing(String place, String own) {
		if (!this.byPlace) {
			return this.all;
		}
		return place.equals(own) ? this.near : Math.min(this.all, 2 * this.near);
	}

}
