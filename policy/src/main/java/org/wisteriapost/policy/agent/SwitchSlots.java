package org.wisteriapost.policy.agent;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.wisteriapost.policy.bundle.BundleCodec;

/**
 * The value of {@code switching/SERVICE/PLACE}: the VMs that have stopped admitting, or
 * are about to, because they switch weights.
 *
 * @param holders one entry a VM
 */
record SwitchSlots(List<Holder> holders) {

	static final SwitchSlots NONE = new SwitchSlots(List.of());

	SwitchSlots {
		holders = List.copyOf(holders);
	}

	static SwitchSlots of(Optional<StoredObject> stored) {
		return stored.map((object) -> BundleCodec.decode(object.value(), SwitchSlots.class)).orElse(NONE);
	}

	byte[] encode() {
		return BundleCodec.encode(this);
	}

	Optional<Holder> holder(String vm) {
		return this.holders.stream().filter((one) -> one.vm().equals(vm)).findFirst();
	}

	SwitchSlots with(Holder holder) {
		return new SwitchSlots(Stream.concat(without(holder.vm()).holders.stream(), Stream.of(holder)).toList());
	}

	SwitchSlots without(String vm) {
		return new SwitchSlots(this.holders.stream().filter((one) -> !one.vm().equals(vm)).toList());
	}

	/**
	 * One VM that switches.
	 *
	 * @param vm its name
	 * @param nonce of its agent
	 * @param beat counted up while it still switches
	 */
	record Holder(String vm, String nonce, long beat) {
	}

}
