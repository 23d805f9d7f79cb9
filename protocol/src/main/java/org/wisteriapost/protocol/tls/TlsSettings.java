package org.wisteriapost.protocol.tls;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import io.netty.handler.ssl.ApplicationProtocolConfig;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.IdentityCipherSuiteFilter;
import io.netty.handler.ssl.JdkSslContext;
import org.wisteriapost.kernel.Findings;
import org.wisteriapost.kernel.settings.Setting;
import org.wisteriapost.kernel.settings.Settings;
import org.wisteriapost.kernel.settings.SettingsSchema;
import org.wisteriapost.protocol.link.LinkTls;
import org.wisteriapost.protocol.link.Links;

/**
 * The settings of {@code [tls]}, for links between wisteriapost processes, and
 * {@code [caller-tls]}, for callers. Without its section there is no TLS.
 */
public final class TlsSettings implements SettingsSchema {

	private static final String LINKS = "tls";

	private static final String CALLERS = "caller-tls";

	private static final Setting<Path> CERTIFICATE = Setting.file(LINKS, "certificate",
			"PEM file with this process's certificate chain, shown to other wisteriapost processes.");

	private static final Setting<Path> KEY = Setting.file(LINKS, "key", "PEM file with its private key, PKCS#8.");

	private static final Setting<Path> AUTHORITY = Setting.file(LINKS, "authority",
			"PEM file with the authority that other wisteriapost processes' certificates must descend from.");

	private static final Setting<Path> CALLER_CERTIFICATE = Setting.file(CALLERS, "certificate",
			"PEM file with the certificate chain shown to callers.");

	private static final Setting<Path> CALLER_KEY = Setting.file(CALLERS, "key",
			"PEM file with its private key, PKCS#8.");

	@Override
	public List<Setting<?>> keys() {
		return List.of(CERTIFICATE, KEY, AUTHORITY, CALLER_CERTIFICATE, CALLER_KEY);
	}

	@Override
	public void check(Settings settings, Findings findings) {
		keys().stream()
			.filter((setting) -> settings.sections().contains(setting.section()))
			.forEach((setting) -> checkReadable(settings, setting, findings));
	}

	/**
	 * Returns links between wisteriapost processes, with mutual TLS if configured.
	 */
	public static Links links(Settings settings, int threads) {
		if (!settings.sections().contains(LINKS)) {
			return Links.plain(threads);
		}
		ReloadingTls tls = ReloadingTls
			.of(new PemFiles(CERTIFICATE.get(settings), KEY.get(settings), AUTHORITY.get(settings)));
		LinkTls contexts = new LinkTls(sslContext(tls, false), sslContext(tls, true));
		return Links.secured(threads, () -> contexts);
	}

	/**
	 * Returns TLS for callers if configured. Callers authenticate by token, not by
	 * certificate, so the authority is not used.
	 */
	public static Optional<ReloadingTls> callers(Settings settings) {
		if (!settings.sections().contains(CALLERS)) {
			return Optional.empty();
		}
		Path certificate = CALLER_CERTIFICATE.get(settings);
		return Optional.of(ReloadingTls.of(new PemFiles(certificate, CALLER_KEY.get(settings), certificate)));
	}

	private static JdkSslContext sslContext(ReloadingTls tls, boolean client) {
		return new JdkSslContext(tls.context(), client, null, IdentityCipherSuiteFilter.INSTANCE,
				ApplicationProtocolConfig.DISABLED, ClientAuth.REQUIRE, null, false);
	}

	private static void checkReadable(Settings settings, Setting<?> setting, Findings findings) {
		Function<String, Path> path = Path::of;
		settings.text(setting.section(), setting.key())
			.map(path)
			.filter((file) -> !java.nio.file.Files.isReadable(file))
			.ifPresent(
					(file) -> findings.add(Setting.SETTING_INVALID, settings.locate(setting.section(), setting.key()),
							file + " cannot be read", "name a file that this process may read"));
	}

}
