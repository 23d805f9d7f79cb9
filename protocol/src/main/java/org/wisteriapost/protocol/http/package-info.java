/**
 * An HTTP client based on Undertow, and the event streams that it receives.
 */
package org.wisteriapost.protocol.http;
