package org.wisteriapost.policy.agent;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.wisteriapost.policy.bundle.BundleCodec;

/**
 * The value of {@code switching/SERVICE/PLACE}: the VMs that have stopped admitting
 * calls, or are about to, in order to switch weights.
 *
 * @param holders the slot holders, at most one for each VM
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
	 * A VM that holds a slot.
	 *
	 * @param vm name of the VM
	 * @param nonce nonce of its agent
	 * @param beat heartbeat counter, incremented while the VM is switching
	 */
	record Holder(String vm, String nonce, long beat) {
	}

}
