/**
 * Logging: the rate-limited, asynchronous decision log and the configuration of Logback.
 */
package org.wisteriapost.kernel.log;
