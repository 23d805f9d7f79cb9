package org.wisteriapost.kernel.log;

import java.util.List;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import ch.qos.logback.core.status.NopStatusListener;
import net.logstash.logback.encoder.LogstashEncoder;
import net.logstash.logback.fieldnames.LogstashFieldNames;

/**
 * Configures Logback in code: JSON lines on standard error. Messages start with the name
 * of the event: {@code event-name: detail}.
 *
 * After a power failure all processes of a site start at once; parsing an XML
 * configuration, which loads hundreds of classes, would slow each of them down. A file
 * named by {@code -Dlogback.configurationFile} takes precedence.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class JsonLogConfigurator extends ContextAwareBase implements Configurator {

	static final String CONFIG_FILE_PROPERTY = "logback.configurationFile";

	static final String TARGET_PROPERTY = "wisteriapost.log.target";

	private static final String IGNORED_FIELD = "[ignore]";

	private static final List<String> WARN_LEVEL_LOGGERS = List.of("org.xnio", "org.jboss", "io.undertow", "io.netty");

	@Override
	public ExecutionStatus configure(LoggerContext context) {
		if (System.getProperty(CONFIG_FILE_PROPERTY) != null) {
			return ExecutionStatus.INVOKE_NEXT_IF_ANY;
		}
		context.getStatusManager().add(new NopStatusListener());
		WARN_LEVEL_LOGGERS.forEach((name) -> context.getLogger(name).setLevel(Level.WARN));
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		root.addAppender(console(context));
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

	private static ConsoleAppender<ILoggingEvent> console(LoggerContext context) {
		ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
		console.setContext(context);
		console.setName("json");
		console.setTarget(System.getProperty(TARGET_PROPERTY, "System.err"));
		console.setEncoder(encoder(context));
		console.start();
		return console;
	}

	private static LogstashEncoder encoder(LoggerContext context) {
		LogstashFieldNames names = new LogstashFieldNames();
		names.setVersion(IGNORED_FIELD);
		names.setLevelValue(IGNORED_FIELD);
		LogstashEncoder encoder = new LogstashEncoder();
		encoder.setContext(context);
		encoder.setFieldNames(names);
		encoder.start();
		return encoder;
	}

}
