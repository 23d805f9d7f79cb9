package org.wisteriapost.standin.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A process that can be paused and killed. While it is paused, its steps are deferred,
 * but time passes.
 */
abstract class SoakProcess {

	private final String name;

	private final String failureDomain;

	private final List<SoakLink> links = new ArrayList<>();

	private final Deque<Runnable> deferred = new ArrayDeque<>();

	private boolean paused;

	private boolean ended;

	private boolean leaving;

	private boolean wasPaused;

	SoakProcess(String name, String failureDomain) {
		this.name = name;
		this.failureDomain = failureDomain;
	}

	String name() {
		return this.name;
	}

	String failureDomain() {
		return this.failureDomain;
	}

	boolean alive() {
		return !this.ended;
	}

	boolean paused() {
		return this.paused;
	}

	boolean leaving() {
		return this.leaving;
	}

	List<SoakLink> links() {
		this.links.removeIf((link) -> !link.open());
		return this.links;
	}

	void addLink(SoakLink link) {
		this.links.add(link);
	}

	/**
	 * Runs a step of this process now, or on resume while it is paused. Drops the step if
	 * the process has ended.
	 */
	void step(Runnable task) {
		if (this.ended) {
			return;
		}
		if (this.paused) {
			this.deferred.add(task);
			return;
		}
		task.run();
	}

	/**
	 * Returns whether the process was ever paused.
	 */
	boolean wasPaused() {
		return this.wasPaused;
	}

	void pause() {
		this.wasPaused = true;
		this.paused = true;
	}

	void resume() {
		this.paused = false;
		while (!this.deferred.isEmpty() && !this.ended) {
			this.deferred.poll().run();
		}
	}

	/**
	 * Ends the process at once and closes its connections, as the operating system does.
	 */
	void end() {
		this.ended = true;
		this.deferred.clear();
		links().forEach(SoakLink::cut);
	}

	/**
	 * Requests a drain and a regular end of the process.
	 */
	void leave() {
		this.leaving = true;
	}

}
