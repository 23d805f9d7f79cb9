package org.wisteriapost.standin.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * One process that can be paused and killed. While it is paused, what comes for it waits;
 * time does not.
 */
abstract class SoakProcess {

	private final String name;

	private final String place;

	private final List<SoakLink> links = new ArrayList<>();

	private final Deque<Runnable> held = new ArrayDeque<>();

	private boolean paused;

	private boolean dead;

	private boolean leaving;

	SoakProcess(String name, String place) {
		this.name = name;
		this.place = place;
	}

	String name() {
		return this.name;
	}

	String place() {
		return this.place;
	}

	boolean alive() {
		return !this.dead;
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

	void linked(SoakLink link) {
		this.links.add(link);
	}

	/**
	 * Runs a step of this process now, or when it goes on.
	 */
	void step(Runnable task) {
		if (this.dead) {
			return;
		}
		if (this.paused) {
			this.held.add(task);
			return;
		}
		task.run();
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
		while (!this.held.isEmpty() && !this.dead) {
			this.held.poll().run();
		}
	}

	/**
	 * Ends the process at once; the kernel closes its connections.
	 */
	void end() {
		this.dead = true;
		this.held.clear();
		links().forEach(SoakLink::cut);
	}

	/**
	 * Asks the process to leave.
	 */
	void leave() {
		this.leaving = true;
	}

}
