package org.wisteriapost.kernel.log;

import java.nio.charset.StandardCharsets;
import java.util.ServiceLoader;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.ConsoleAppender;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;

class JsonLogConfiguratorTests {

	private final LoggerContext context = new LoggerContext();

	private String savedConfigFile;

	@BeforeEach
	void clearConfigFileProperty() {
		this.context.setMDCAdapter(new LogbackMDCAdapter());
		this.savedConfigFile = System.clearProperty(JsonLogConfigurator.CONFIG_FILE_PROPERTY);
	}

	@AfterEach
	void restoreProperties() {
		System.clearProperty(JsonLogConfigurator.TARGET_PROPERTY);
		if (this.savedConfigFile != null) {
			System.setProperty(JsonLogConfigurator.CONFIG_FILE_PROPERTY, this.savedConfigFile);
		}
	}

	private ConsoleAppender<ILoggingEvent> configuredAppender() {
		assertThat(new JsonLogConfigurator().configure(this.context),
				Matchers.equalTo(Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY));
		return (ConsoleAppender<ILoggingEvent>) root().getAppender("json");
	}

	private Logger root() {
		return this.context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
	}

	@Test
	void eachEventIsOneJsonLine() {
		LoggingEvent event = new LoggingEvent("", this.context.getLogger("org.wisteriapost.some"), Level.INFO,
				"link-up: edge-1", null, null);
		String line = new String(configuredAppender().getEncoder().encode(event), StandardCharsets.UTF_8);
		assertThat(line, Matchers.startsWith("{\"@timestamp\":"));
		assertThat(line, Matchers.endsWith("}" + System.lineSeparator()));
		assertThat(line, Matchers.containsString("\"message\":\"link-up: edge-1\""));
		assertThat(line, Matchers.containsString("\"level\":\"INFO\""));
		assertThat(line, Matchers.not(Matchers.containsString("@version")));
		assertThat(line, Matchers.not(Matchers.containsString("level_value")));
	}

	@ParameterizedTest
	@ValueSource(strings = { "org.xnio", "org.jboss.threads", "io.undertow", "io.netty.channel" })
	void librariesLogWarningsOnly(String library) {
		configuredAppender();
		assertThat(this.context.getLogger(library).getEffectiveLevel(), Matchers.equalTo(Level.WARN));
		assertThat(this.context.getLogger("org.wisteriapost").getEffectiveLevel(), Matchers.equalTo(Level.INFO));
	}

	@ParameterizedTest
	@ValueSource(strings = { "System.out", "System.err" })
	void outputTargetIsTakenFromProperty(String target) {
		System.setProperty(JsonLogConfigurator.TARGET_PROPERTY, target);
		assertThat(configuredAppender().getTarget(), Matchers.equalTo(target));
	}

	@Test
	void defaultOutputTargetIsStandardError() {
		assertThat(configuredAppender().getTarget(), Matchers.equalTo("System.err"));
	}

	@Test
	void configurationFileTakesPrecedence() {
		System.setProperty(JsonLogConfigurator.CONFIG_FILE_PROPERTY, "some.xml");
		assertThat(new JsonLogConfigurator().configure(this.context),
				Matchers.equalTo(Configurator.ExecutionStatus.INVOKE_NEXT_IF_ANY));
		assertThat(root().getAppender("json"), Matchers.nullValue());
	}

	@Test
	void isRegisteredAsServiceProvider() {
		assertThat(ServiceLoader.load(Configurator.class).stream().map(ServiceLoader.Provider::type).toList(),
				Matchers.hasItem(JsonLogConfigurator.class));
	}

}
