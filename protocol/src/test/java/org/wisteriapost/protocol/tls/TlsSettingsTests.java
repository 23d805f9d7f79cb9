package org.wisteriapost.protocol.tls;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.protocol.link.Link;
import org.wisteriapost.protocol.link.LinkHandler;
import org.wisteriapost.protocol.link.LinkServer;
import org.wisteriapost.protocol.link.Links;
import org.wisteriapost.protocol.wire.CallCancel;
import org.wisteriapost.protocol.wire.Frame;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TlsSettingsTests {

	private static final long WAIT_SECONDS = 20;

	private final TestAuthority ours = new TestAuthority("ours");

	private final TestAuthority theirs = new TestAuthority("theirs");

	@TempDir
	private Path folder;

	@Test
	void peersOfOneAuthorityTalk() throws Exception {
		assertThat(talk(this.ours.issue(this.folder, "server"), this.ours.issue(this.folder, "client")), is(true));
	}

	@Test
	void peerOfAnotherAuthorityIsRefused() throws Exception {
		assertThat(talk(this.ours.issue(this.folder, "server"), this.theirs.issue(this.folder, "client")), is(false));
	}

	@Test
	void peerWithoutTlsIsRefused() throws Exception {
		try (Links server = links(this.ours.issue(this.folder, "server")); Links client = Links.plain(1)) {
			assertThat(talk(server, client), is(false));
		}
	}

	// Operators replace the key files of a running process. Its next handshake shows the
	// new
	// certificate; a client that only trusts the new authority is the proof.
	@Test
	void replacedFilesAreUsedWithoutARestart() throws Exception {
		PemFiles files = this.ours.issue(this.folder, "server");
		PemFiles other = this.theirs.issue(this.folder, "other");
		try (Links server = links(files); Links client = links(this.theirs.issue(this.folder, "client"))) {
			assertThat(talk(server, client), is(false));
			replace(other.certificate(), files.certificate());
			replace(other.key(), files.key());
			replace(other.authority(), files.authority());
			long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
			boolean talked = false;
			while (!talked && System.nanoTime() < end) {
				talked = talk(server, client);
			}
			assertThat(talked, is(true));
		}
	}

	private boolean talk(PemFiles server, PemFiles client) throws Exception {
		try (Links one = links(server); Links two = links(client)) {
			return talk(one, two);
		}
	}

	private static boolean talk(Links server, Links client) throws Exception {
		Ends serverEnds = new Ends(false);
		Ends clientEnds = new Ends(true);
		try (LinkServer at = server.listen(new InetSocketAddress("127.0.0.1", 0), serverEnds)) {
			client.connect(new InetSocketAddress("127.0.0.1", at.port()), clientEnds).exceptionally((refused) -> {
				clientEnds.results.add(false);
				return null;
			});
			return clientEnds.results.poll(WAIT_SECONDS, TimeUnit.SECONDS);
		}
	}

	private static Links links(PemFiles files) {
		return TlsSettings.links(Settings.parse("f", "[tls]\ncertificate = %s\nkey = %s\nauthority = %s\n"
			.formatted(files.certificate(), files.key(), files.authority())), 1);
	}

	private static void replace(Path from, Path to) throws Exception {
		Files.copy(from, to, StandardCopyOption.REPLACE_EXISTING);
		Files.setLastModifiedTime(to, FileTime.fromMillis(System.currentTimeMillis() + 5000));
	}

	/**
	 * The client sends one frame, the server answers it: true; closed before that: false.
	 */
	private static final class Ends implements LinkHandler {

		private final BlockingQueue<Boolean> results = new LinkedBlockingQueue<>();

		private final boolean client;

		private Ends(boolean client) {
			this.client = client;
		}

		@Override
		public void onOpen(Link link) {
			if (this.client) {
				link.send(Frame.newBuilder().setCallCancel(CallCancel.newBuilder().setId(1)).build());
			}
		}

		@Override
		public void onFrame(Link link, Frame frame) {
			if (this.client) {
				this.results.add(true);
				link.close();
				return;
			}
			link.send(frame);
		}

		@Override
		public void onClosed(Link link) {
			this.results.add(false);
		}

	}

}
