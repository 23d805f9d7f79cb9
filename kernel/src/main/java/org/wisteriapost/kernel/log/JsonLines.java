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
 * Sets logging up: JSON lines on standard error. The event's name opens the message:
 * {@code event-name: detail}.
 *
 * Load: all processes of a site start at the same moment after a loss of power. Harm
 * prevented: each of them reads a file of XML for it, which takes hundreds of classes.
 * {@code -Dlogback.configurationFile} still names a file that is read instead.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class JsonLines extends ContextAwareBase implements Configurator {

	static final String FILE = "logback.configurationFile";

	static final String TARGET = "wisteriapost.log.target";

	private static final String LEFT_OUT = "[ignore]";

	private static final List<String> WARNINGS_ONLY = List.of("org.xnio", "org.jboss", "io.undertow", "io.netty");

	@Override
	public ExecutionStatus configure(LoggerContext context) {
		if (System.getProperty(FILE) != null) {
			return ExecutionStatus.INVOKE_NEXT_IF_ANY;
		}
		context.getStatusManager().add(new NopStatusListener());
		WARNINGS_ONLY.forEach((name) -> context.getLogger(name).setLevel(Level.WARN));
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		root.addAppender(console(context));
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

	private static ConsoleAppender<ILoggingEvent> console(LoggerContext context) {
		ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
		console.setContext(context);
		console.setName("json");
		console.setTarget(System.getProperty(TARGET, "System.err"));
		console.setEncoder(encoder(context));
		console.start();
		return console;
	}

	private static LogstashEncoder encoder(LoggerContext context) {
		LogstashFieldNames names = new LogstashFieldNames();
		names.setVersion(LEFT_OUT);
		names.setLevelValue(LEFT_OUT);
		LogstashEncoder encoder = new LogstashEncoder();
		encoder.setContext(context);
		encoder.setFieldNames(names);
		encoder.start();
		return encoder;
	}

}
