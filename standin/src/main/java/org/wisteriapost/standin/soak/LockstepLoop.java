package org.wisteriapost.standin.soak;

import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

import org.wisteriapost.kernel.EventLoop;
import org.wisteriapost.kernel.Invariants;

/**
 * The product's event loop, fed one event at a time, so that a run is the same each time.
 *
 * @param <E> the event type
 */
final class LockstepLoop<E> implements AutoCloseable {

	private static final int RING = 16;

	private final EventLoop<Ticket<E>> loop;

	private LockstepLoop(EventLoop<Ticket<E>> loop) {
		this.loop = loop;
	}

	static <E> LockstepLoop<E> start(String name, Consumer<E> consumer, Invariants invariants) {
		return new LockstepLoop<>(EventLoop.start(name, RING, (ticket) -> {
			try {
				consumer.accept(ticket.event);
			}
			catch (RuntimeException ex) {
				invariants.holds(false, "event-applied",
						name + " " + ticket.event.getClass().getSimpleName() + " " + ex);
			}
			finally {
				ticket.done.countDown();
			}
		}));
	}

	void apply(E event) {
		Ticket<E> ticket = new Ticket<>(event, new CountDownLatch(1));
		this.loop.put(ticket);
		try {
			ticket.done.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() {
		this.loop.close();
	}

	private record Ticket<E>(E event, CountDownLatch done) {
	}

}
